"""Which unread responses are cut off, and by which settings.

The functional test of the same name runs a node against clients that stop
reading.
"""

import socket
import unittest

import curio
from hypothesis import given
from hypothesis import strategies as st

from cranecart.http import Address, HttpServer, Request, Responder, ServerLimits
from cranecart.http._unread import UnreadResponse, responses_to_cut
from tests.lib.waiting import until

_RESPONSES = st.lists(st.tuples(st.floats(0, 100), st.integers(0, 100_000)))


class ResponsesToCutTest(unittest.TestCase):
    """The pure decision."""

    def setUp(self) -> None:
        """Create a socket, which the decision does not use."""
        self.sock = socket.socket()
        self.addCleanup(self.sock.close)

    @given(drawn=_RESPONSES, fraction=st.floats(0, 1))
    def test_longest_unread_first(
        self, drawn: list[tuple[float, int]], fraction: float
    ) -> None:
        """The rest fits, and no more than necessary is cut.

        Guards against memory over the limit, and against cutting a client that
        has just paused while others have read nothing for longer.
        """
        sock = curio.io.Socket(self.sock)
        responses = [
            UnreadResponse(since, size, sock, self.fail)
            for since, size in drawn
        ]
        limit = fraction * sum(response.held_bytes for response in responses)
        cut = list(responses_to_cut(responses, limit))
        kept = [response for response in responses if response not in cut]
        held = sum(response.held_bytes for response in kept)
        self.assertLessEqual(held, limit)
        if cut:
            self.assertGreater(held + cut[-1].held_bytes, limit)
            last_cut = max(response.since for response in cut)
            first_kept = min(
                (response.since for response in kept), default=last_cut
            )
            self.assertLessEqual(last_cut, first_kept)


class SlowReaderTest(unittest.TestCase):
    """A server that may hold nothing for clients that do not read."""

    def test_slow_reader_is_not_cut(self) -> None:
        """Only a client that reads nothing for a while is cut off."""
        received, cut_count = curio.run(self._read_slowly)
        self.assertGreater(received, 1_000_000)
        self.assertEqual(cut_count, 0)

    def test_reader_that_stops_is_cut(self) -> None:
        """Its connection is reset, so that the kernel keeps nothing for it."""
        with self.assertRaises(ConnectionResetError):
            curio.run(self._stop_reading)

    async def _read_slowly(self) -> tuple[int, int]:
        server, client = await _serve()
        received = 0
        while received <= 1_000_000:
            await curio.sleep(0.05)
            received += len(await client.recv(65536))
        await client.close()
        return received, server.unread.cut_count

    async def _stop_reading(self) -> None:
        server, client = await _serve()
        await until(lambda: server.unread.cut_count)
        async with client:
            while await client.recv(65536):
                """Discard what had arrived."""


async def _serve() -> tuple[HttpServer, curio.io.Socket]:
    server = HttpServer(
        Address('127.0.0.1', 0), _send_much, ServerLimits(unread_bytes=0)
    )
    server.open()
    await curio.spawn(server.run, daemon=True)
    client = await curio.open_connection(
        server.address.host, server.address.port
    )
    await client.sendall(b'GET / HTTP/1.1\r\nhost: x\r\n\r\n')
    return server, client


async def _send_much(_request: Request, responder: Responder) -> None:
    await responder.start(200, {'transfer-encoding': 'chunked'})
    for _number in range(100):
        await responder.write(bytes(100_000))
