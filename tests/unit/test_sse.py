"""Splitting streams into server-sent events."""

import contextlib
import itertools
import time
import unittest
from collections.abc import Iterable, Sequence
from typing import Protocol

import attrs
from hypothesis import given
from hypothesis import strategies as st

from cranecart.client_api._sse import EventCounter
from cranecart.exceptions import TargetOversizedError
from cranecart.forwarding import EventSplitter
from cranecart.http import HeldResponse, ResponseLimits, ResponseMemory

_EVENT = b'data: {"x": 1}\n\n'
_DONE = b'data: [DONE]\n\n'
_END = b'\n\n'
_CHUNK_BYTES = 1024
_SIZES = (1 << 18, 1 << 21)
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
                    min(_seconds_to_feed(make_feeder(), size) for _ in range(5))
                    for size in _SIZES
                )
                self.assertLess(large, _MAX_TIMES_RATIO * small)


class LargeEventTest(unittest.TestCase):
    """Events that are larger than a stream's may be."""

    @given(
        st.lists(st.integers(0, 40), min_size=1, max_size=6),
        st.sampled_from((b'', _END)),
        st.lists(st.integers(0, 400), max_size=60),
    )
    def test_event_over_its_bound(
        self, sizes: Sequence[int], end: bytes, positions: Sequence[int]
    ) -> None:
        """It ends the stream, in any parts, and no other event does."""
        stream = _END.join(b'x' * size for size in sizes) + end
        splitter, memory = _bounded_splitter(20)
        is_too_large = max(sizes) > 20
        with self._expect_error(is_too_large):
            for part in _cut(stream, positions):
                splitter.feed(part)
        self.assertEqual(memory.too_large_count, is_too_large)

    def test_event_without_end_is_left(self) -> None:
        """By default too, at a size that a node has room for."""
        for feeder in (EventSplitter(), EventCounter()):
            with self.assertRaises(TargetOversizedError):
                for _ in range(1024):
                    feeder.feed(b'x' * 16384)

    def test_large_event(self) -> None:
        """It passes unchanged if it is no larger than the default bound."""
        event = b'data: %b\n\n' % (b'x' * 3_900_000)
        for feeder in (EventSplitter(), EventCounter()):
            parts = _cut(event, range(0, len(event), 65536))
            self.assertEqual(b''.join(map(feeder.feed, parts)), event)

    def _expect_error(
        self, is_too_large: bool
    ) -> contextlib.AbstractContextManager[object]:
        if is_too_large:
            return self.assertRaisesRegex(TargetOversizedError, 'more than 20')
        return contextlib.nullcontext()


def _bounded_splitter(
    event_bytes: int,
) -> tuple[EventSplitter, ResponseMemory]:
    memory = ResponseMemory(ResponseLimits(event_bytes=event_bytes))
    splitter = EventSplitter()
    splitter.hold_in(HeldResponse(memory))
    return splitter, memory
