"""Connections to the store and to instances that stop answering for good.

They are not reset, and new connections work. Only a timeout of the caller ends
the wait, and only TCP keep-alive probes detect a dead connection that is waiting
for changes.
"""

import functools
import socket
import time
import unittest
from collections.abc import Awaitable, Callable
from weakref import WeakSet

import attrs
import curio

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

# How much longer than its timeout a call may take on a busy machine. Without a
# timeout it would take a minute.
_SLACK_SECONDS = 6.0
_POLL_SECONDS = 0.2
_POLL_MARGIN_SECONDS = 1.5
_TRANSACTION = Transaction((), (Put('t/p/k', 'v'),))


class UnresponsiveStore(StandinStore):
    """A store that a test can make stop answering on existing connections."""

    def __init__(self) -> None:
        """Answer all requests until ``stop_answering`` is called."""
        super().__init__()
        self.connections: WeakSet[curio.io.Socket] = WeakSet()
        self.dead_connections: WeakSet[curio.io.Socket] = WeakSet()
        self.answers_slowly = False

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer a call, unless its connection is dead."""
        connection = responder._sock
        self.connections.add(connection)
        if connection in self.dead_connections and self.answers_slowly:
            await self._answer_slowly(responder)
        if connection in self.dead_connections:
            await curio.sleep(60)
        # The delay makes concurrent calls use a connection each.
        await curio.sleep(0.02)
        await super().handle(request, responder)

    def stop_answering(self) -> None:
        """Stop answering on all connections used so far."""
        self.dead_connections.update(self.connections)

    async def _answer_slowly(self, responder: Responder) -> None:
        await responder.start(200, {'content-length': '1000'})
        for _number in range(999):
            await responder.write(b'[')
            await curio.sleep(0.05)


@attrs.define
class Calls:
    """The kinds of calls of a store client."""

    client: StoreClient

    async def read(self) -> object:
        """Read rows."""
        return await PlatformTable(self.client).read_prefix('t/p/')

    async def write(self) -> object:
        """Write a row."""
        return await PlatformTable(self.client).commit(_TRANSACTION)

    async def follow(self) -> object:
        """Wait for changes."""
        listing = PlatformTargetList(self.client)
        return await listing.changes(0, _POLL_SECONDS)


class UnresponsiveStoreTest(unittest.TestCase):
    """Each call times out, and the next one uses a new connection."""

    def setUp(self) -> None:
        """Start with a store that answers all requests."""
        self.store = UnresponsiveStore()

    def test_read(self) -> None:
        """The store counts as unavailable."""
        self._assert_call_fails(Calls.read, PlatformUnavailableError)

    def test_write(self) -> None:
        """Whether the row was written is unknown."""
        self._assert_call_fails(Calls.write, WriteUnknownError)

    def test_feed(self) -> None:
        """A long poll ends soon after the requested wait."""
        self._assert_call_fails(Calls.follow, PlatformUnavailableError)

    def test_slow_answer(self) -> None:
        """A few bytes at a time do not renew the timeout."""
        self.store.answers_slowly = True
        self._assert_call_fails(Calls.read, PlatformUnavailableError)

    def test_all_persistent_connections(self) -> None:
        """After one timeout, no other persistent connection is reused."""
        curio.run(self._with_client, self._call_on_dead_connections)

    def test_keepalive_ends_a_long_poll(self) -> None:
        """Keep-alive probes fail long before the timeout of a long poll."""
        curio.run(self._with_client, self._check_socket_options)

    def _assert_call_fails(
        self,
        call: Callable[[Calls], Awaitable[object]],
        error: type[Exception],
    ) -> None:
        scenario = functools.partial(self._call_before_and_after, call, error)
        curio.run(self._with_client, scenario)

    async def _call_before_and_after(
        self,
        call: Callable[[Calls], Awaitable[object]],
        error: type[Exception],
        client: StoreClient,
    ) -> None:
        calls = Calls(client)
        await call(calls)
        self.store.stop_answering()
        started = time.monotonic()
        with self.assertRaises(error):
            await call(calls)
        time_limit = max(
            CALL_TIMEOUT_SECONDS, _POLL_SECONDS + _POLL_MARGIN_SECONDS
        )
        self.assertLess(time.monotonic() - started, time_limit + _SLACK_SECONDS)
        await call(calls)

    async def _call_on_dead_connections(self, client: StoreClient) -> None:
        calls = Calls(client)
        async with curio.TaskGroup() as tasks:
            for _number in range(4):
                await tasks.spawn(calls.read)
        self.assertEqual(len(self.store.connections), 4)
        self.store.stop_answering()
        with self.assertRaises(PlatformUnavailableError):
            await calls.read()
        self.assertEqual(await calls.read(), {})

    async def _check_socket_options(self, client: StoreClient) -> None:
        await Calls(client).read()
        connection = await client._pool.acquire(client._address)
        option_values = {
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
        self.assertEqual(option_values[socket.SO_KEEPALIVE], 1)
        probe_seconds = (
            option_values[socket.TCP_KEEPINTVL]
            * option_values[socket.TCP_KEEPCNT]
        )
        self.assertLessEqual(
            option_values[socket.TCP_KEEPIDLE] + probe_seconds, 3
        )
        self.assertLessEqual(option_values[socket.TCP_USER_TIMEOUT], 3000)
        self.assertGreater(option_values[socket.TCP_USER_TIMEOUT], 0)

    async def _with_client(
        self,
        scenario: Callable[[StoreClient], Awaitable[None]],
    ) -> None:
        task, address = await start(self.store)
        try:
            await scenario(StoreClient(address))
        finally:
            await task.cancel()


class UnresponsiveInstanceTest(unittest.TestCase):
    """An order times out, and the next one uses a new connection."""

    def test_order(self) -> None:
        """Whether the order was executed is unknown."""
        curio.run(self._order_before_and_after)

    async def _order_before_and_after(self) -> None:
        engine = UnresponsiveStore()
        task, address = await start(engine)
        orders = PlatformOrders()
        await self._open(orders, address)
        engine.stop_answering()
        started = time.monotonic()
        with self.assertRaises(OrderUnknownError):
            await self._open(orders, address)
        self.assertLess(time.monotonic() - started, _SLACK_SECONDS)
        await self._open(orders, address)
        self.assertEqual(len(engine.orders), 2)
        await task.cancel()

    async def _open(self, orders: PlatformOrders, address: Address) -> None:
        await orders.open(listed_instance('i', address), 'r', 1, 1)
