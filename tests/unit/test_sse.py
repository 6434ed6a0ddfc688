"""Splitting streams into server-sent events."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from cranecart.client_api._sse import EventCounter

_EVENT = b'data: {"x": 1}\n\n'
_DONE = b'data: [DONE]\n\n'


class EventCounterTest(unittest.TestCase):
    """Counting and completing the events of a stream."""

    @given(st.integers(0, 20), st.lists(st.integers(0, 400)))
    def test_any_split_gives_the_same_events(
        self, events: int, cuts: list[int]
    ) -> None:
        """All events are returned complete and counted once."""
        stream = _EVENT * events + _DONE
        ends = sorted(cut % (len(stream) + 1) for cut in cuts)
        counter = EventCounter()
        relayed = [
            counter.feed(stream[start:end])
            for start, end in zip([0, *ends], [*ends, None], strict=True)
        ]
        self.assertEqual(b''.join(relayed), stream)
        self.assertEqual(counter.tokens, events)
        self.assertTrue(counter.is_finished)
        self.assertTrue(
            all(piece.endswith(b'\n\n') for piece in relayed if piece),
        )

    def test_resumed_stream_continues_at_the_right_token(self) -> None:
        """An incomplete event is discarded when its replica fails."""
        counter = EventCounter()
        counter.feed(_EVENT * 3 + _EVENT[:5])
        self.assertEqual(counter.tokens, 3)
        counter.restart()
        relayed = counter.feed(_EVENT + _DONE)
        self.assertEqual(relayed, _EVENT + _DONE)
        self.assertEqual(counter.tokens, 4)
