"""Requests that wait in the sockets of a node whose process is stopped."""

import random
import signal
import time
from collections.abc import Sequence

import attrs
import curio

from cranecart.exceptions import HttpError
from cranecart.http import Address, HttpConnection, Request, ResponseHead
from tests.lib.fake_targets import Exchange, FakeTarget
from tests.lib.node_processes import (
    NodeProcess,
    NodeProcessTestCase,
    add_config_and_target,
    add_target,
)
from tests.lib.waiting import until
from tests.platform._standin import StandinStore, start

_SEED = 4
_PAUSES_SECONDS = (0.7, 1.6, 2.4)
_DEADLINES_SECONDS = (0.6, 1.0, 5.0)
_REQUESTS = 40
_LEAVING = 20
_IDLE_SECONDS = 1.0
_WORK_SECONDS = 0.2
# By how much the time given to a target may exceed what its client waits.
_MAX_EXCESS_SECONDS = 0.5
# Within this time after the pause all that waited has been answered.
_CATCH_UP_SECONDS = 0.5
_START_SECONDS = 20
_MILLISECONDS = 1000
_OK = 200
_NOT_RUN = 503


@attrs.define
class _Client:
    """One request, when it was sent and answered, and the response's head.

    Times are of the monotonic clock.
    """

    name: str
    deadline_seconds: float
    sent_at: float = 0
    answered_at: float = float('inf')
    head: ResponseHead | None = None

    @property
    def expires_at(self) -> float:
        """Return when the client stops waiting."""
        return self.sent_at + self.deadline_seconds

    def request(self) -> Request:
        """Return the request."""
        deadline_ms = round(self.deadline_seconds * _MILLISECONDS)
        return Request(
            'GET',
            '/x',
            {
                'host': 'a.example',
                'authorization': 'Bearer secret',
                'request-id': self.name,
                'deadline-ms': str(deadline_ms),
            },
        )

    async def send(self, connection: HttpConnection) -> None:
        """Send the request and read its response."""
        self.sent_at = time.monotonic()
        self.head = await connection.send_and_read_head(self.request())
        await connection.read_body()
        self.answered_at = time.monotonic()

    async def connect_and_send(self, address: Address) -> None:
        """Send the request on a connection of its own."""
        connection = await HttpConnection.open(address)
        try:
            await self.send(connection)
        finally:
            await connection.close()


@attrs.frozen
class _Arrival:
    """When a request arrived at the target, and the seconds it was given."""

    name: str
    at: float
    given_seconds: float


class RequestsOfPausedNodesTest(NodeProcessTestCase):
    """A node with two targets is stopped and goes on."""

    def test_waiting_requests_get_their_whole_deadline_again(self) -> None:
        """Targets are given no more time than the clients still wait."""
        curio.run(self._pause_repeatedly)

    def test_requests_of_clients_that_left_are_run(self) -> None:
        """Targets do not get what nobody waits for any more."""
        curio.run(self._leave_during_pause)

    def test_idle_connections_closed_with_a_request_unread(self) -> None:
        """A request that arrived before the idle limit is served."""
        curio.run(self._pause_beyond_idle_limit)

    def test_requests_answered_in_a_pause_are_repeated(self) -> None:
        """What has arrived is read before time is found to have passed."""
        curio.run(self._pause_before_answers)

    async def _pause_before_answers(self) -> None:
        arrivals: list[_Arrival] = []
        tasks, node = await self._start(arrivals, work_seconds=_WORK_SECONDS)
        clients = [
            _Client(f'a{number}', max(_DEADLINES_SECONDS))
            for number in range(_REQUESTS)
        ]
        async with curio.TaskGroup(wait=all) as sending:
            for client in clients:
                await sending.spawn(client.connect_and_send, node.client)
            await until(lambda: len(arrivals) == _REQUESTS, _START_SECONDS)
            node.process.send_signal(signal.SIGSTOP)
            await curio.sleep(_WORK_SECONDS + max(_PAUSES_SECONDS))
            node.process.send_signal(signal.SIGCONT)
        self.assertEqual(len(arrivals), _REQUESTS)
        for task in tasks:
            await task.cancel()

    async def _pause_repeatedly(self) -> None:
        arrivals: list[_Arrival] = []
        tasks, node = await self._start(arrivals)
        source = random.Random(_SEED)
        for number, seconds in enumerate(_PAUSES_SECONDS):
            clients, resumed_at = await _pause(node, seconds, source, number)
            with self.subTest(pause=seconds):
                self._check(clients, arrivals, resumed_at)
        for task in tasks:
            await task.cancel()

    async def _leave_during_pause(self) -> None:
        arrivals: list[_Arrival] = []
        tasks, node = await self._start(arrivals)
        kept = [await _used_connection(node.client) for _ in range(_LEAVING)]
        arrivals.clear()
        node.process.send_signal(signal.SIGSTOP)
        for number, connection in enumerate(kept):
            client = _Client(f'l{number}', max(_DEADLINES_SECONDS))
            await connection.send(client.request())
            await connection.close()
        await curio.sleep(min(_PAUSES_SECONDS))
        node.process.send_signal(signal.SIGCONT)
        await curio.sleep(_CATCH_UP_SECONDS)
        self.assertEqual(arrivals, [])
        for task in tasks:
            await task.cancel()

    async def _pause_beyond_idle_limit(self) -> None:
        tasks, node = await self._start(
            [], idleTimeoutMs=_MILLISECONDS * _IDLE_SECONDS
        )
        connection = await _used_connection(node.client)
        await curio.sleep(_IDLE_SECONDS / 2)
        client = _Client('kept', max(_DEADLINES_SECONDS))
        node.process.send_signal(signal.SIGSTOP)
        sending = await curio.spawn(client.send, connection)
        await curio.sleep(_IDLE_SECONDS)
        node.process.send_signal(signal.SIGCONT)
        await sending.join()
        assert client.head is not None
        self.assertEqual(client.head.status, _OK)
        # The limit is in force.
        await curio.timeout_after(2 * _IDLE_SECONDS, connection.wait_closed)
        await connection.close()
        for task in tasks:
            await task.cancel()

    async def _start(
        self,
        arrivals: list[_Arrival],
        work_seconds: float = 0,
        **limits: float,
    ) -> tuple[list[curio.Task], NodeProcess]:
        """Start a store, targets that note arrivals, and a node."""

        async def script(exchange: Exchange) -> None:  # noqa: WPS430
            given_ms = float(exchange.headers['deadline-ms'])
            arrivals.append(
                _Arrival(
                    exchange.headers['request-id'],
                    time.monotonic(),
                    given_ms / _MILLISECONDS,
                )
            )
            await curio.sleep(work_seconds)
            await exchange.answer(b'end')

        targets = [FakeTarget(name, script) for name in ('t-1', 't-2')]
        store = add_config_and_target(StandinStore(), targets[0], 1000, limits)
        add_target(store, 't-2', targets[1], 1000)
        store_task, platform = await start(store)
        tasks = [store_task]
        for target in targets:
            tasks.append(await curio.spawn(target.run))
        node = self.start_node(platform, first_start=True)
        await until(lambda: node.events('node_informed'), _START_SECONDS)
        return tasks, node

    def _check(
        self,
        clients: Sequence[_Client],
        arrivals: Sequence[_Arrival],
        resumed_at: float,
    ) -> None:
        by_name = {client.name: client for client in clients}
        excesses = [
            arrival.at
            + arrival.given_seconds
            - by_name[arrival.name].expires_at
            for arrival in arrivals
            if arrival.name in by_name
        ]
        late = [excess for excess in excesses if excess > _MAX_EXCESS_SECONDS]
        self.assertEqual(late, [])
        arrived = {arrival.name for arrival in arrivals}
        expired = [
            client for client in clients if client.expires_at <= resumed_at
        ]
        self.assertGreater(len(expired), 0)
        for client in expired:
            self.assertNotIn(client.name, arrived)
            assert client.head is not None
            self.assertEqual(client.head.status, _NOT_RUN)
            self.assertGreater(float(client.head.headers['retry-after']), 0)
        for client in clients:
            self.assertLess(client.answered_at - resumed_at, _CATCH_UP_SECONDS)
            if client.expires_at > resumed_at + _CATCH_UP_SECONDS:
                assert client.head is not None
                self.assertEqual(client.head.status, _OK)


async def _pause(
    node: NodeProcess, seconds: float, source: random.Random, number: int
) -> tuple[Sequence[_Client], float]:
    """Stop a node while clients send; return them and when it went on.

    Half of them use connections that have carried a request before.
    """
    clients = [
        _Client(f'p{number}-{index}', source.choice(_DEADLINES_SECONDS))
        for index in range(_REQUESTS)
    ]
    kept = [await _used_connection(node.client) for _ in clients[::2]]
    node.process.send_signal(signal.SIGSTOP)
    stopped_at = time.monotonic()
    try:
        async with curio.TaskGroup(wait=all) as tasks:
            for index, client in enumerate(clients):
                due_at = stopped_at + seconds * index / len(clients)
                await curio.sleep(max(0, due_at - time.monotonic()))
                if index % 2:
                    await tasks.spawn(client.connect_and_send, node.client)
                else:
                    await tasks.spawn(client.send, kept[index // 2])
            await curio.sleep(max(0, stopped_at + seconds - time.monotonic()))
            resumed_at = time.monotonic()
            node.process.send_signal(signal.SIGCONT)
    finally:
        node.process.send_signal(signal.SIGCONT)
        for connection in kept:
            await connection.close()
    return clients, resumed_at


async def _used_connection(address: Address) -> HttpConnection:
    """Return a connection on which a request has been answered."""
    connection = await HttpConnection.open(address)
    try:
        await _Client('warm-up', max(_DEADLINES_SECONDS)).send(connection)
        connection.reset()
    except HttpError:
        await connection.close()
        raise
    return connection
