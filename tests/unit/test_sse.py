"""Splitting streams into server-sent events."""

import itertools
import time
import unittest
from collections.abc import Iterable, Sequence
from typing import Protocol

import attrs
from hypothesis import given
from hypothesis import strategies as st

from cranecart.client_api._sse import EventCounter
from cranecart.forwarding import EventSplitter

_EVENT = b'data: {"x": 1}\n\n'
_DONE = b'data: [DONE]\n\n'
_END = b'\n\n'
_CHUNK_BYTES = 4096
_SIZES = (1 << 20, 1 << 23)
# The sizes are 8 times apart. Time in proportion to the bytes gives about 8,
# time in proportion to their square 64.
_MAX_TIMES_RATIO = 24


class _Feeder(Protocol):
    def feed(self, chunk: bytes) -> bytes: ...


@attrs.define
class _JoiningSplitter:
    """Finds complete events by joining and searching all that it has."""

    partial: bytes = b''

    def feed(self, chunk: bytes) -> bytes:
        joined = self.partial + chunk
        complete, end, rest = joined.rpartition(_END)
        self.partial = rest
        return complete + end


def _cut(stream: bytes, positions: Iterable[int]) -> Sequence[bytes]:
    """Return the parts of a stream that is cut at some positions."""
    cuts = sorted(position % (len(stream) + 1) for position in positions)
    return [
        stream[start:end]
        for start, end in itertools.pairwise((0, *cuts, len(stream)))
    ]


def _seconds_to_feed(feeder: _Feeder, size: int) -> float:
    """Return the processor time for an event of this size without an end."""
    chunk = b'x' * _CHUNK_BYTES
    started = time.process_time()
    for _ in range(size // _CHUNK_BYTES):
        feeder.feed(chunk)
    return time.process_time() - started


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


class EventsInPartsTest(unittest.TestCase):
    """Events that are received in any parts."""

    @given(
        st.lists(
            st.sampled_from((b'\n', b'\n\n', b'id: 7', b'data: a', b'\r')),
            max_size=40,
        ).map(b''.join)
        | st.binary(max_size=200),
        st.lists(st.integers(0, 400), max_size=60),
    )
    def test_complete_events_by_any_parts(
        self, stream: bytes, positions: Sequence[int]
    ) -> None:
        """After each part all events that are complete were returned."""
        splitter, counter = EventSplitter(), EventCounter()
        expected = _JoiningSplitter()
        for part in _cut(stream, positions):
            complete = expected.feed(part)
            self.assertEqual(splitter.feed(part), complete)
            self.assertEqual(counter.feed(part), complete)
            self.assertEqual(splitter.is_between_events, not expected.partial)

    def test_event_without_end(self) -> None:
        """The time for it grows no faster than the bytes that arrive."""
        for make_feeder in (EventSplitter, EventCounter):
            with self.subTest(feeder=make_feeder.__name__):
                small, large = (
                    min(_seconds_to_feed(make_feeder(), size) for _ in range(3))
                    for size in _SIZES
                )
                self.assertLess(large, _MAX_TIMES_RATIO * small)
