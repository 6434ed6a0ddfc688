"""Hostile and odd input on every listener, drawn by hypothesis."""

import contextlib
import itertools
import unittest

import curio
import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from cranecart.forwarding._sse import EventSplitter
from cranecart.http import (
    Address,
    HttpServer,
    Request,
    Responder,
    Response,
    ServerLimits,
)
from cranecart.log_reading import read_lines
from cranecart.mesh import decode_mesh_message

_LINES = st.sampled_from(
    (
        b'GET / HTTP/1.1\r\n',
        b'POST /x HTTP/1.1\r\n',
        b'host: a\r\n',
        b'content-length: 4\r\n',
        b'content-length: 5\r\n',
        b'content-length: -1\r\n',
        b'transfer-encoding: chunked\r\n',
        b'transfer-encoding: gzip\r\n',
        b'expect: 100-continue\r\n',
        b'connection: close\r\n',
        b' folded\r\n',
        b'\r\n',
        b'abcd',
        b'4\r\nabcd\r\n',
        b'0\r\n\r\n',
        b'\x00\xff\r\n',
    ),
)


class ListenerTest(unittest.TestCase):
    """A listener before arbitrary bytes."""

    def setUp(self) -> None:
        """Forget what was handled."""
        self.handled: list[Request] = []

    @settings(max_examples=60, deadline=None)
    @given(st.lists(st.one_of(_LINES, st.binary(max_size=40)), max_size=9))
    def test_requests_made_of_odd_lines(self, lines: list[bytes]) -> None:
        """Only proper requests are handled, and nothing fails inside."""
        with self.assertNoLogs('cranecart.http', 'ERROR'):
            curio.run(self._send, b''.join(lines))
        for request in self.handled:
            self.assertIn('host', request.headers)
            self.assertNotIn(b'HTTP/1.1', request.body)

    @given(st.binary(max_size=200))
    def test_messages_between_nodes(self, received: bytes) -> None:
        """What is no message is an error that the link handles."""
        with contextlib.suppress(msgspec.MsgspecError):
            decode_mesh_message(received)

    @given(st.lists(st.binary(max_size=60)))
    def test_log_lines(self, texts: list[bytes]) -> None:
        """Whatever stands in a log file can be passed over."""
        read_lines(texts)

    async def _handle(self, request: Request, responder: Responder) -> None:
        self.handled.append(request)
        await responder.send(Response(200))

    async def _send(self, sent: bytes) -> None:
        limits = ServerLimits(receive_seconds=0.05, idle_seconds=0.05)
        server = HttpServer(Address('127.0.0.1', 0), self._handle, limits)
        server.open()
        serving = await curio.spawn(server.run)
        sock = await curio.open_connection('127.0.0.1', server.address.port)
        async with sock:
            with contextlib.suppress(OSError):
                await sock.sendall(sent)
                await curio.ignore_after(0.08, sock.recv, 65536)
        await serving.cancel()


class EventCutterTest(unittest.TestCase):
    """Streams cut anywhere."""

    @given(
        st.lists(st.integers(1, 99999), min_size=1, max_size=20),
        st.lists(st.integers(0, 400), max_size=20),
    )
    def test_any_cuts(self, ids: list[int], cuts: list[int]) -> None:
        """Whole events come out unchanged, and the last id is known."""
        events = [b'id: %d\ndata: x\n\n' % one for one in ids]
        stream = b''.join(events)
        places = sorted(
            {0, len(stream), *(min(one, len(stream)) for one in cuts)}
        )
        splitter = EventSplitter()
        passed = b''.join(
            splitter.feed(stream[start:end])
            for start, end in itertools.pairwise(places)
        )
        self.assertEqual(passed, stream)
        self.assertEqual(splitter.last_id, str(ids[-1]))
        self.assertEqual(splitter.event_count, len(ids))

    @given(st.binary(max_size=300), st.integers(0, 300))
    def test_only_whole_events(self, stream: bytes, cut: int) -> None:
        """Nothing is passed on that is not ended by a blank line."""
        splitter = EventSplitter()
        passed = splitter.feed(stream[:cut]) + splitter.feed(stream[cut:])
        self.assertTrue(stream.startswith(passed))
        self.assertTrue(not passed or passed.endswith(b'\n\n'))
