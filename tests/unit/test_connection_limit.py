"""A node that says it is ready takes new connections, or says it is not.

At the bound of its connections a server closed each new one without a word,
while the balancer was told that it is ready; out of descriptors it left new
ones waiting. Requests that came on them were lost, however little was to do.
"""

import contextlib
import resource
import socket
import time
import unittest
from collections.abc import Awaitable, Callable, Generator, Sequence

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
_SOON_SECONDS = 3.0


class Serving:
    """A server with few places, whose requests end when a test says so."""

    def __init__(self, limit: int = _LIMIT) -> None:
        """Keep the bound; nothing listens until ``run``."""
        self.server = HttpServer(
            Address('127.0.0.1', 0),
            self._handle,
            ServerLimits(connections=limit),
        )
        self.end = curio.Event()
        self.inside = 0
        self.most = 0

    async def run(self, play: Callable[['Serving'], Awaitable[None]]) -> None:
        """Listen while a play lasts."""
        self.server.open()
        serving = await curio.spawn(self.server.run)
        try:
            await play(self)
        finally:
            await serving.cancel()

    async def connect(self, count: int) -> list[HttpConnection]:
        """Open connections that ask nothing yet."""
        found = []
        for _number in range(count):
            found.append(await HttpConnection.open(self.server.address))
            await curio.sleep(0.01)
        return found

    async def _handle(self, request: Request, responder: Responder) -> None:
        self.inside += 1
        self.most = max(self.most, self.inside)
        if request.path == '/long':
            await self.end.wait()
        self.inside -= 1
        await responder.send(Response(200))


class RoomTest(unittest.TestCase):
    """What becomes of one connection more."""

    def test_idle_ones_make_room(self) -> None:
        """The longest idle ones go, the others stay."""
        curio.run(Serving().run, self._idle)

    def test_all_are_busy(self) -> None:
        """The server says so, and what waits is served in its turn."""
        curio.run(Serving().run, self._busy)

    def test_many_at_once(self) -> None:
        """The bound holds also before the first of them was served."""
        curio.run(Serving().run, self._many)

    def test_out_of_descriptors(self) -> None:
        """Idle ones make room there as well."""
        curio.run(Serving(1000).run, self._without_descriptors)

    def test_out_of_descriptors_and_busy(self) -> None:
        """Then the server says that it takes nothing."""
        curio.run(Serving(1000).run, self._busy_without_descriptors)

    async def _idle(self, serving: Serving) -> None:
        kept = await serving.connect(_LIMIT)
        started = time.monotonic()
        late = await HttpConnection.open(serving.server.address)
        self.assertEqual(await _status(late), 200)
        self.assertLess(time.monotonic() - started, _SOON_SECONDS)
        with self.assertRaises(ConnectionBrokenError):
            await kept[0].send_and_read_head(Request('GET', '/'))
        self.assertEqual(await _status(kept[-1]), 200)
        self.assertFalse(serving.server.is_full)
        await _close(late, *kept)

    async def _busy(self, serving: Serving) -> None:
        kept = await serving.connect(_LIMIT)
        await _occupy(serving, kept)
        self.assertFalse(serving.server.is_full)
        late = await HttpConnection.open(serving.server.address)
        await late.send(Request('GET', '/'))
        await until(lambda: serving.server.is_full)
        await serving.end.set()
        self.assertEqual((await late.read_head()).status, 200)
        for one in kept:
            self.assertEqual((await one.read_head()).status, 200)
        self.assertFalse(serving.server.is_full)
        await _close(late, *kept)

    async def _many(self, serving: Serving) -> None:
        socks = [socket.socket() for _number in range(3 * _LIMIT)]
        address = serving.server.address
        for sock in socks:
            # All stand in the listener's queue before it looks.
            sock.connect((address.host, address.port))
            sock.sendall(b'GET /long HTTP/1.1\r\nhost: x\r\n\r\n')
        await until(lambda: serving.server.is_full)
        await serving.end.set()
        for sock in socks:
            answered = await curio.io.Socket(sock).recv(65536)
            self.assertIn(b' 200 ', answered)
        self.assertLessEqual(serving.most, _LIMIT)
        for sock in socks:
            sock.close()

    async def _without_descriptors(self, serving: Serving) -> None:
        kept = await serving.connect(2)
        with _few_descriptors(1):
            late = await HttpConnection.open(serving.server.address)
            head = await curio.timeout_after(
                _SOON_SECONDS,
                late.send_and_read_head,
                Request('GET', '/'),
            )
        self.assertEqual(head.status, 200)
        await _close(late, *kept)

    async def _busy_without_descriptors(self, serving: Serving) -> None:
        kept = await serving.connect(2)
        await _occupy(serving, kept)
        with _few_descriptors(1):
            late = await HttpConnection.open(serving.server.address)
            await late.send(Request('GET', '/'))
            await until(lambda: serving.server.is_full)
        await serving.end.set()
        self.assertEqual((await late.read_head()).status, 200)
        await until(lambda: not serving.server.is_full)
        await _close(late, *kept)


@contextlib.contextmanager
def _few_descriptors(free: int) -> Generator[None, None, None]:
    """Let this process open so many descriptors more."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    with socket.socket() as probe:
        lowest = probe.fileno()
    resource.setrlimit(resource.RLIMIT_NOFILE, (lowest + free, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


async def _occupy(
    serving: Serving,
    connections: Sequence[HttpConnection],
) -> None:
    for one in connections:
        await one.send(Request('GET', '/long'))
    await until(lambda: serving.inside == len(connections))


async def _status(connection: HttpConnection) -> int:
    return (await connection.send_and_read_head(Request('GET', '/'))).status


async def _close(*connections: HttpConnection) -> None:
    for one in connections:
        await one.close()
