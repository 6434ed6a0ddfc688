"""What gaps between events teach about silence."""

import itertools
import unittest

from hypothesis import given
from hypothesis import strategies as st

from cranecart.routing._event_gaps import EventGapTracker


def _note(meter: EventGapTracker, model: str, gap: float, times: int) -> None:
    for one in itertools.repeat(gap, times):
        meter.record(model, one)


class GapMeterTest(unittest.TestCase):
    """The silence that is worth a look follows what is ordinary."""

    def test_quick_models_are_looked_at_earlier(self) -> None:
        """Each model has its own bound."""
        meter = EventGapTracker()
        _note(meter, 'quick', 0.03, 100)
        _note(meter, 'slow', 0.13, 100)
        self.assertLess(meter.stall_seconds('quick'), 0.1)
        self.assertGreater(meter.stall_seconds('slow'), 0.13)

    def test_one_long_gap_changes_little(self) -> None:
        """A single stall does not make a node blind to the next one."""
        meter = EventGapTracker()
        _note(meter, 'm', 0.04, 300)
        _note(meter, 'm', 3, 1)
        _note(meter, 'm', 0.04, 50)
        self.assertLess(meter.stall_seconds('m'), 0.1)

    @given(st.lists(st.floats(0, 30), max_size=120))
    def test_always_within_bounds(self, gaps: list[float]) -> None:
        """Whatever comes, a stopped replica is looked at within 0.2 s."""
        meter = EventGapTracker()
        for gap in gaps:
            meter.record('m', gap)
        self.assertLessEqual(meter.stall_seconds('m'), 0.2)
        self.assertGreaterEqual(meter.stall_seconds('m'), 0.08)
