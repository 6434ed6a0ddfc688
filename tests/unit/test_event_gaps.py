"""Stall thresholds learned from the gaps between events."""

import itertools
import unittest

from hypothesis import given
from hypothesis import strategies as st

from cranecart.routing._event_gaps import EventGapTracker


def _record(
    tracker: EventGapTracker, model: str, gap: float, times: int
) -> None:
    for seconds in itertools.repeat(gap, times):
        tracker.record(model, seconds)


class EventGapTrackerTest(unittest.TestCase):
    """The stall threshold follows the usual gaps."""

    def test_fast_models_are_checked_earlier(self) -> None:
        """Each model has its own threshold."""
        tracker = EventGapTracker()
        _record(tracker, 'fast', 0.03, 100)
        _record(tracker, 'slow', 0.13, 100)
        self.assertLess(tracker.stall_seconds('fast'), 0.1)
        self.assertGreater(tracker.stall_seconds('slow'), 0.13)

    def test_one_long_gap_has_little_effect(self) -> None:
        """A single stall must not hide the next one."""
        tracker = EventGapTracker()
        _record(tracker, 'm', 0.04, 300)
        _record(tracker, 'm', 3, 1)
        _record(tracker, 'm', 0.04, 50)
        self.assertLess(tracker.stall_seconds('m'), 0.1)

    @given(st.lists(st.floats(0, 30), max_size=120))
    def test_always_within_bounds(self, gaps: list[float]) -> None:
        """Whatever gaps are seen, a stalled replica is checked within 0.2 s."""
        tracker = EventGapTracker()
        for gap in gaps:
            tracker.record('m', gap)
        self.assertLessEqual(tracker.stall_seconds('m'), 0.2)
        self.assertGreaterEqual(tracker.stall_seconds('m'), 0.08)
