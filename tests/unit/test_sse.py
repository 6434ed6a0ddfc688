"""The relay's look into streams."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from cranecart.clients._sse import EventCounter

_EVENT = b'data: {"x": 1}\n\n'
_DONE = b'data: [DONE]\n\n'


class EventCounterTest(unittest.TestCase):
    """Pieces may be cut anywhere."""

    @given(st.integers(0, 20), st.lists(st.integers(0, 400)))
    def test_any_cut_gives_the_same(self, events: int, cuts: list[int]) -> None:
        """Whole events come out, all of them, counted once."""
        stream = _EVENT * events + _DONE
        ends = sorted(cut % (len(stream) + 1) for cut in cuts)
        counter = EventCounter()
        passed = [
            counter.feed(stream[start:end])
            for start, end in zip([0, *ends], [*ends, None], strict=True)
        ]
        self.assertEqual(b''.join(passed), stream)
        self.assertEqual(counter.tokens, events)
        self.assertTrue(counter.is_finished)
        self.assertTrue(
            all(piece.endswith(b'\n\n') for piece in passed if piece),
        )

    def test_broken_stream_goes_on_at_the_right_token(self) -> None:
        """Half an event is dropped with the replica that sent it."""
        counter = EventCounter()
        counter.feed(_EVENT * 3 + _EVENT[:5])
        self.assertEqual(counter.tokens, 3)
        counter.restart()
        passed = counter.feed(_EVENT + _DONE)
        self.assertEqual(passed, _EVENT + _DONE)
        self.assertEqual(counter.tokens, 4)
