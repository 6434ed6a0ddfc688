"""Connections that go silent for good, to the store and to instances.

Nothing resets them, and new ones work: only a bound of the caller's own ends
the wait, and only keep-alive probes find one that nobody is asking on.
"""

import functools
import socket
import time
import unittest
from collections.abc import Awaitable, Callable
from weakref import WeakSet

import attrs
import curio
import h11

from cranecart.exceptions import (
    OrderUnknownError,
    PlatformUnavailableError,
    WriteUnknownError,
)
from cranecart.http import Address, Request, Responder
from cranecart.platform import (
    PlatformOrders,
    PlatformTable,
    PlatformTargetList,
    StoreClient,
)
from cranecart.platform._store import CALL_TIMEOUT_SECONDS
from cranecart.ports import Put, Transaction
from tests.lib.fake_engines import listed_instance
from tests.platform._standin import StandinStore, start

# What a busy machine may add to a bound; without one it would be a minute.
_SLACK_SECONDS = 6.0
_FEED_SECONDS = 0.2
_FEED_SLACK_SECONDS = 1.5
_PUT = Transaction((), (Put('t/p/k', 'v'),))


class MuteStore(StandinStore):
    """Answers; once mute, nothing on the connections that there are."""

    def __init__(self) -> None:
        """Answer everything at first."""
        super().__init__()
        self.known: WeakSet[h11.Connection] = WeakSet()
        self.mute: WeakSet[h11.Connection] = WeakSet()
        self.drips = False

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one call, or never."""
        place = responder._connection
        self.known.add(place)
        if place in self.mute and self.drips:
            await self._drip(responder)
        if place in self.mute:
            await curio.sleep(60)
        # Calls that come together need a connection each.
        await curio.sleep(0.02)
        await super().handle(request, responder)

    def fall_silent(self) -> None:
        """Say nothing more on the connections that were used."""
        self.mute.update(self.known)

    async def _drip(self, responder: Responder) -> None:
        await responder.start(200, {'content-length': '1000'})
        for _byte in range(999):
            await responder.write(b'[')
            await curio.sleep(0.05)


@attrs.define
class Calls:
    """The calls of one client."""

    client: StoreClient

    async def read(self) -> object:
        """Read rows."""
        return await PlatformTable(self.client).read_prefix('t/p/')

    async def write(self) -> object:
        """Write a row."""
        return await PlatformTable(self.client).commit(_PUT)

    async def follow(self) -> object:
        """Wait for changes."""
        listing = PlatformTargetList(self.client)
        return await listing.changes(0, _FEED_SECONDS)


class SilentStoreTest(unittest.TestCase):
    """Every call ends, and the next one is made on a new connection."""

    def setUp(self) -> None:
        """Start with a store that answers."""
        self.store = MuteStore()

    def test_read(self) -> None:
        """Nothing was read, and the store counts as away."""
        self._play(Calls.read, PlatformUnavailableError)

    def test_write(self) -> None:
        """It may have been written."""
        self._play(Calls.write, WriteUnknownError)

    def test_feed(self) -> None:
        """It may wait for as long as it asked to, and no more."""
        self._play(Calls.follow, PlatformUnavailableError)

    def test_an_answer_that_drips(self) -> None:
        """The bound is one for the whole answer."""
        self.store.drips = True
        self._play(Calls.read, PlatformUnavailableError)

    def test_all_kept_connections(self) -> None:
        """One that is silent tells of the others that were kept with it."""
        curio.run(self._with_client, self._several)

    def test_a_dark_path_is_noticed_while_waiting(self) -> None:
        """Waiting for changes ends by probes, long before its own bound."""
        curio.run(self._with_client, self._options)

    def _play(
        self,
        call: Callable[[Calls], Awaitable[object]],
        error: type[Exception],
    ) -> None:
        play = functools.partial(self._once, call, error)
        curio.run(self._with_client, play)

    async def _once(
        self,
        call: Callable[[Calls], Awaitable[object]],
        error: type[Exception],
        client: StoreClient,
    ) -> None:
        calls = Calls(client)
        await call(calls)
        self.store.fall_silent()
        started = time.monotonic()
        with self.assertRaises(error):
            await call(calls)
        bound = max(CALL_TIMEOUT_SECONDS, _FEED_SECONDS + _FEED_SLACK_SECONDS)
        self.assertLess(time.monotonic() - started, bound + _SLACK_SECONDS)
        await call(calls)

    async def _several(self, client: StoreClient) -> None:
        calls = Calls(client)
        async with curio.TaskGroup() as tasks:
            for _number in range(4):
                await tasks.spawn(calls.read)
        self.assertEqual(len(self.store.known), 4)
        self.store.fall_silent()
        with self.assertRaises(PlatformUnavailableError):
            await calls.read()
        self.assertEqual(await calls.read(), {})

    async def _options(self, client: StoreClient) -> None:
        await Calls(client).read()
        connection = await client._pool.acquire(client._address)
        found = {
            option: connection._sock.getsockopt(level, option)
            for level, option in (
                (socket.SOL_SOCKET, socket.SO_KEEPALIVE),
                (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE),
                (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL),
                (socket.IPPROTO_TCP, socket.TCP_KEEPCNT),
                (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
            )
        }
        await connection.close()
        self.assertEqual(found[socket.SO_KEEPALIVE], 1)
        probed = found[socket.TCP_KEEPINTVL] * found[socket.TCP_KEEPCNT]
        self.assertLessEqual(found[socket.TCP_KEEPIDLE] + probed, 3)
        self.assertLessEqual(found[socket.TCP_USER_TIMEOUT], 3000)
        self.assertGreater(found[socket.TCP_USER_TIMEOUT], 0)

    async def _with_client(
        self,
        play: Callable[[StoreClient], Awaitable[None]],
    ) -> None:
        task, address = await start(self.store)
        try:
            await play(StoreClient(address))
        finally:
            await task.cancel()


class SilentInstanceTest(unittest.TestCase):
    """An order ends soon, and the next one is sent anew."""

    def test_order(self) -> None:
        """It may have been taken."""
        curio.run(self._order)

    async def _order(self) -> None:
        engine = MuteStore()
        task, address = await start(engine)
        orders = PlatformOrders()
        await self._open(orders, address)
        engine.fall_silent()
        started = time.monotonic()
        with self.assertRaises(OrderUnknownError):
            await self._open(orders, address)
        self.assertLess(time.monotonic() - started, _SLACK_SECONDS)
        await self._open(orders, address)
        self.assertEqual(len(engine.orders), 2)
        await task.cancel()

    async def _open(self, orders: PlatformOrders, address: Address) -> None:
        await orders.open(listed_instance('i', address), 'r', 1, 1)
