"""Clients can connect to a node's process while the node is starting.

Importing the program takes 0.55 s of CPU time, over a second on a small
machine. If the client address is bound only afterwards, requests that arrive
earlier are refused: 191 were lost after all nodes had lost power at once.
"""

import signal
import socket
import time

import curio

from cranecart.exceptions import HttpError
from cranecart.http import (
    Address,
    HttpConnection,
    Request,
    Responder,
    Response,
    exchange,
)
from tests.lib.fake_targets import Exchange, FakeTarget
from tests.lib.node_processes import (
    NodeProcess,
    NodeProcessTestCase,
    add_config_and_target,
    node_request,
)
from tests.lib.waiting import until
from tests.platform._standin import StandinStore, start

_TIMEOUT_SECONDS = 15.0
_TARGET = 't-1'
_NODES = 6
# Latency of a slow store, by the users' load sheets.
_STORE_DELAY_SECONDS = 0.25
# Longer than pauses after which a node sends at once.
_FREEZE_SECONDS = 3.5


class _SlowStore(StandinStore):
    """A stand-in whose responses are delayed."""

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one call after a delay."""
        await curio.sleep(_STORE_DELAY_SECONDS)
        await super().handle(request, responder)


async def _answer(exchange: Exchange) -> None:
    await exchange.answer(b'whole')


async def _connect(address: Address) -> HttpConnection:
    deadline = time.monotonic() + _TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        try:
            return await HttpConnection.open(address)
        except HttpError:
            await curio.sleep(0.005)
    raise AssertionError(
        f'nothing listened at {address} within {_TIMEOUT_SECONDS} s'
    )


async def _send_request(connection: HttpConnection) -> Response:
    head = await connection.send_and_read_head(node_request())
    return Response(head.status, head.headers, await connection.read_body())


async def _connect_and_request(node: NodeProcess) -> tuple[float, int]:
    """Connect as early as possible; return the time and the status."""
    connection = await _connect(node.client)
    connected_at = time.time()
    response = await curio.timeout_after(
        _TIMEOUT_SECONDS, _send_request, connection
    )
    return connected_at, response.status


class NodeStartTest(NodeProcessTestCase):
    """The first client of a node's process that is starting."""

    def test_connection_before_the_node_has_started(self) -> None:
        """It stays open, and its request is answered by a target."""
        curio.run(self._request_from_starting_nodes, StandinStore(), 1)

    def test_slow_store(self) -> None:
        """The request waits until the node has read its configuration."""
        curio.run(self._request_from_starting_nodes, _SlowStore(), 1)

    def test_simultaneous_start_of_all_nodes(self) -> None:
        """Every node serves the client that connected first."""
        curio.run(self._request_from_starting_nodes, StandinStore(), _NODES)

    def test_store_outage(self) -> None:
        """The client gets a 503 with a retry time, before its timeout."""
        curio.run(self._request_without_store)

    def test_stop_during_start(self) -> None:
        """The process exits within a second and closes the connection."""
        curio.run(self._stop_a_starting_node)

    def test_start_during_evacuation(self) -> None:
        """The first request is not sent to the evacuated target."""
        curio.run(self._start_evacuated)

    def test_evacuation_while_frozen(self) -> None:
        """A request that waits in the socket is handled after the news."""
        curio.run(self._evacuate_frozen_node)

    def test_failure_is_not_told_from_a_kill(self) -> None:
        """The log says that the process has ended, and why."""
        curio.run(self._start_with_taken_address)

    async def _start_with_taken_address(self) -> None:
        with socket.create_server(('127.0.0.1', 0)) as taken:
            address = Address(*taken.getsockname())
            node = self.start_node(
                self.addresses.take(), metrics_address=str(address)
            )
            await until(lambda: node.process.poll() is not None, 10)
        self.assertEqual(node.process.wait(), 1)
        reasons = [line['why'] for line in node.events('node_failed')]
        self.assertEqual(len(reasons), 1)
        self.assertIn('Address already in use', reasons[0])

    async def _start_evacuated(self) -> None:
        target = FakeTarget(_TARGET, _answer)
        store = add_config_and_target(StandinStore(), target)
        store.put('op', '', 'evacuate/east', {})
        task, platform = await start(store)
        node = self.start_node(platform)
        _connected_at, status = await _connect_and_request(node)
        self.assertEqual((status, target.received), (503, []))
        metrics = await exchange(node.metrics, Request('GET', '/metrics'), 5)
        self.assertIn(b'evacuated{failure_domain="east"} 1', metrics.body)
        await task.cancel()

    async def _evacuate_frozen_node(self) -> None:
        target = FakeTarget(_TARGET, _answer)
        serving = await curio.spawn(target.run)
        store = add_config_and_target(StandinStore(), target)
        task, platform = await start(store)
        node = self.start_node(platform, platform_features=['places'])
        connection = await _connect(node.client)
        response = await _send_request(connection)
        self.assertEqual(response.status, 200)
        connection.reset()
        node.process.send_signal(signal.SIGSTOP)
        asking = await curio.spawn(_send_request, connection)
        store.put('op', '', 'evacuate/east', {})
        await curio.sleep(_FREEZE_SECONDS)
        node.process.send_signal(signal.SIGCONT)
        response = await asking.join()
        self.assertEqual((response.status, len(target.received)), (503, 1))
        await task.cancel()
        await serving.cancel()

    async def _request_from_starting_nodes(
        self,
        store: StandinStore,
        count: int,
    ) -> None:
        target = FakeTarget(_TARGET, _answer)
        serving = await curio.spawn(target.run)
        task, platform = await start(add_config_and_target(store, target))
        nodes = [
            self.start_node(platform, f'n{number}') for number in range(count)
        ]
        clients = [
            await curio.spawn(_connect_and_request, node) for node in nodes
        ]
        for node, client in zip(nodes, clients, strict=True):
            connected_at, status = await client.join()
            self.assertEqual(status, 200)
            await until(node.started_at)
            self.assertLess(connected_at, node.started_at())
        await task.cancel()
        await serving.cancel()

    async def _request_without_store(self) -> None:
        node = self.start_node(self.addresses.take())
        connection = await _connect(node.client)
        response = await curio.timeout_after(
            _TIMEOUT_SECONDS, _send_request, connection
        )
        self.assertEqual(response.status, 503)
        self.assertIn('retry-after', response.headers)
        before = time.monotonic()
        connection.reset()
        second = await curio.timeout_after(
            _TIMEOUT_SECONDS, _send_request, connection
        )
        self.assertEqual(second.status, 503)
        self.assertLess(time.monotonic() - before, 0.3)

    async def _stop_a_starting_node(self) -> None:
        node = self.start_node(self.addresses.take())
        connection = await _connect(node.client)
        node.process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + 1
        while node.process.poll() is None and time.monotonic() < deadline:
            await curio.sleep(0.01)
        self.assertIn(node.process.poll(), {0, -signal.SIGTERM})
        with self.assertRaises(HttpError):
            await curio.timeout_after(1, _send_request, connection)
