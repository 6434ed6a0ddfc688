"""A node that reports ready accepts new connections.

At its connection limit a server closed each new connection without a response
while it reported to the load balancer that it was ready, and out of file
descriptors it left new ones waiting. Their requests were lost even under little
load.
"""

import contextlib
import resource
import socket
import time
import unittest
from collections.abc import Awaitable, Callable, Generator, Sequence
from functools import partial

import curio

from cranecart.exceptions import ConnectionBrokenError
from cranecart.http import (
    Address,
    HttpConnection,
    HttpServer,
    Request,
    Responder,
    Response,
    ServerLimits,
)
from tests.lib.waiting import until

_LIMIT = 4
_HALF_REQUEST = b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nx'
_MAX_WAIT_SECONDS = 3.0
_READ_SECONDS = 0.2


class ServerHarness:
    """A server with few connections, whose long requests end on a signal."""

    def __init__(self, limit: int = _LIMIT) -> None:
        """Set the limit; nothing listens until ``run``."""
        self.server = HttpServer(
            Address('127.0.0.1', 0),
            self._handle,
            ServerLimits(connections=limit),
        )
        self.end = curio.Event()
        self.in_progress = 0
        self.max_in_progress = 0

    async def run(
        self, scenario: Callable[['ServerHarness'], Awaitable[None]]
    ) -> None:
        """Listen while a scenario lasts."""
        self.server.open()
        server_task = await curio.spawn(self.server.run)
        try:
            await scenario(self)
        finally:
            await server_task.cancel()

    async def connect(self, count: int) -> list[HttpConnection]:
        """Open connections without sending a request."""
        connections = []
        for _number in range(count):
            connections.append(await HttpConnection.open(self.server.address))
            await curio.sleep(0.01)
        return connections

    async def _handle(self, request: Request, responder: Responder) -> None:
        self.in_progress += 1
        self.max_in_progress = max(self.max_in_progress, self.in_progress)
        if request.path == '/long':
            await self.end.wait()
        self.in_progress -= 1
        await responder.send(Response(200))


class ConnectionLimitTest(unittest.TestCase):
    """A further connection at the connection limit."""

    def test_idle_connections_are_closed(self) -> None:
        """The longest idle one is closed, the others stay."""
        curio.run(ServerHarness().run, self._idle)

    def test_all_connections_are_busy(self) -> None:
        """The server reports itself full, and serves the connection later."""
        curio.run(ServerHarness().run, self._busy)

    def test_many_connections_at_once(self) -> None:
        """The limit holds even before the first of them is served."""
        curio.run(ServerHarness().run, self._many)

    def test_out_of_descriptors(self) -> None:
        """Idle connections are closed here as well."""
        curio.run(ServerHarness(1000).run, self._without_descriptors)

    def test_out_of_descriptors_while_busy(self) -> None:
        """The server reports that it is full."""
        curio.run(ServerHarness(1000).run, self._busy_without_descriptors)

    def test_connections_with_half_a_request_keep_others_out(self) -> None:
        """One that has sent nothing for a while is closed for a new one."""
        for sent in (b'GET /', _HALF_REQUEST):
            with self.subTest(sent=sent):
                harness = ServerHarness()
                curio.run(harness.run, partial(self._stalled, sent=sent))

    async def _stalled(self, harness: ServerHarness, sent: bytes) -> None:
        address = harness.server.address
        stalled = [
            await curio.open_connection(address.host, address.port)
            for _ in range(_LIMIT)
        ]
        for sock in stalled:
            await sock.sendall(sent)
        # Until then they are idle for the server.
        await curio.sleep(_READ_SECONDS)
        started = time.monotonic()
        additional = await HttpConnection.open(address)
        self.assertEqual(await _status(additional), 200)
        self.assertLess(time.monotonic() - started, _MAX_WAIT_SECONDS)
        for sock in stalled:
            await sock.close()
        await additional.close()

    async def _idle(self, harness: ServerHarness) -> None:
        connections = await harness.connect(_LIMIT)
        started = time.monotonic()
        additional = await HttpConnection.open(harness.server.address)
        self.assertEqual(await _status(additional), 200)
        self.assertLess(time.monotonic() - started, _MAX_WAIT_SECONDS)
        with self.assertRaises(ConnectionBrokenError):
            await connections[0].send_and_read_head(Request('GET', '/'))
        self.assertEqual(await _status(connections[-1]), 200)
        self.assertFalse(harness.server.is_full)
        await _close(additional, *connections)

    async def _busy(self, harness: ServerHarness) -> None:
        connections = await harness.connect(_LIMIT)
        await _occupy(harness, connections)
        self.assertFalse(harness.server.is_full)
        additional = await HttpConnection.open(harness.server.address)
        await additional.send(Request('GET', '/'))
        await until(lambda: harness.server.is_full)
        await harness.end.set()
        self.assertEqual((await additional.read_head()).status, 200)
        for connection in connections:
            self.assertEqual((await connection.read_head()).status, 200)
        self.assertFalse(harness.server.is_full)
        await _close(additional, *connections)

    async def _many(self, harness: ServerHarness) -> None:
        socks = [socket.socket() for _number in range(3 * _LIMIT)]
        address = harness.server.address
        for sock in socks:
            # All wait in the listener's backlog before it accepts any.
            sock.connect((address.host, address.port))
            sock.sendall(b'GET /long HTTP/1.1\r\nhost: x\r\n\r\n')
        await until(lambda: harness.server.is_full)
        await harness.end.set()
        for sock in socks:
            answered = await curio.io.Socket(sock).recv(65536)
            self.assertIn(b' 200 ', answered)
        self.assertLessEqual(harness.max_in_progress, _LIMIT)
        for sock in socks:
            sock.close()

    async def _without_descriptors(self, harness: ServerHarness) -> None:
        connections = await harness.connect(2)
        with _limit_descriptors(1):
            additional = await HttpConnection.open(harness.server.address)
            head = await curio.timeout_after(
                _MAX_WAIT_SECONDS,
                additional.send_and_read_head,
                Request('GET', '/'),
            )
        self.assertEqual(head.status, 200)
        await _close(additional, *connections)

    async def _busy_without_descriptors(self, harness: ServerHarness) -> None:
        connections = await harness.connect(2)
        await _occupy(harness, connections)
        with _limit_descriptors(1):
            additional = await HttpConnection.open(harness.server.address)
            await additional.send(Request('GET', '/'))
            await until(lambda: harness.server.is_full)
        await harness.end.set()
        self.assertEqual((await additional.read_head()).status, 200)
        await until(lambda: not harness.server.is_full)
        await _close(additional, *connections)


@contextlib.contextmanager
def _limit_descriptors(free: int) -> Generator[None, None, None]:
    """Allow this process a number of further file descriptors."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    with socket.socket() as probe:
        first_free = probe.fileno()
    resource.setrlimit(resource.RLIMIT_NOFILE, (first_free + free, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


async def _occupy(
    harness: ServerHarness,
    connections: Sequence[HttpConnection],
) -> None:
    for connection in connections:
        await connection.send(Request('GET', '/long'))
    await until(lambda: harness.in_progress == len(connections))


async def _status(connection: HttpConnection) -> int:
    return (await connection.send_and_read_head(Request('GET', '/'))).status


async def _close(*connections: HttpConnection) -> None:
    for connection in connections:
        await connection.close()
