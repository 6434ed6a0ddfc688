"""Requests that arrive while a node stops, and how its process ends."""

import random
import signal
import time
from collections import Counter
from typing import Any

import attrs
import curio

from cranecart.exceptions import HttpError
from cranecart.http import Address, HttpConnection, Request
from tests.lib.fake_targets import Exchange, FakeTarget, Script
from tests.lib.node_processes import (
    NodeProcess,
    NodeProcessTestCase,
    add_config_and_target,
)
from tests.lib.waiting import until
from tests.platform._standin import StandinStore, start

_GRACE_SECONDS = 4.0
_SHORT_GRACE_SECONDS = 1.0
_SIGNAL_INTERVAL_SECONDS = 0.001
_WORK_SECONDS = 0.8
_EVENTS = 4
_BEGUN_BEFORE = 60
_NEW_INTERVAL_SECONDS = 0.04
_WARM_UP = 5
_START_SECONDS = 20
_MESSAGE = (
    'POST /x HTTP/1.1\r\nhost: a.example\r\nauthorization: Bearer secret\r\n'
    'request-id: {name}\r\ncontent-length: 4\r\n\r\nbody'
)
_OK = 200
_NOT_RUN = 503


@attrs.define
class _Client:
    """One request and what its client got; the status is 0 for none."""

    name: str
    status: int = 0
    has_retry_time: bool = False
    is_whole: bool = False

    def verdict(self, *, has_run: bool) -> str:
        """Return what became of the request."""
        if self.is_whole:
            return 'whole'
        if self.status == _NOT_RUN and self.has_retry_time:
            return 'refused but run' if has_run else 'refused'
        return f'run and cut ({self.status})' if has_run else 'not run'

    async def send(
        self, address: Address, finish_at: float | None = None
    ) -> None:
        """Send the request, its last part at a given time, and read."""
        try:
            connection = await HttpConnection.open(address)
        except HttpError:
            return
        try:
            await self._send(connection, finish_at)
            await self._read(connection)
        except (HttpError, OSError):
            self.is_whole = False
        finally:
            await connection.close()

    async def _send(
        self, connection: HttpConnection, finish_at: float | None
    ) -> None:
        message = _MESSAGE.format(name=self.name).encode()
        half = len(message) // 2
        if finish_at is not None:
            await connection._sock.sendall(message[:half])
            await curio.sleep(max(0, finish_at - time.monotonic()))
            message = message[half:]
        await connection._sock.sendall(message)

    async def _read(self, connection: HttpConnection) -> None:
        # The parser has to know what was sent.
        connection._encode(Request('POST', '/x', {'host': 'a.example'}))
        head = await connection.read_head()
        self.status = head.status
        self.has_retry_time = 'retry-after' in head.headers
        body = await connection.read_body()
        self.is_whole = self.status == _OK and b'end' in body


class RequestsLateInAStopTest(NodeProcessTestCase):
    """A node with one target is stopped in calm."""

    def test_requests_that_cannot_end_are_run_and_cut(self) -> None:
        """They are refused at once as not run instead."""
        for route_type in ('unsafe', 'safe', 'streaming'):
            with self.subTest(route_type=route_type):
                curio.run(self._stop, route_type)

    def test_another_signal_ends_the_process(self) -> None:
        """Signals that follow the first one are ignored to the end."""
        for second in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            with self.subTest(second=second):
                curio.run(self._stop_twice, second)

    async def _stop_twice(self, second: signal.Signals) -> None:
        tasks, node = await self._start(
            _answer_slowly, f'n-{second.name}', _SHORT_GRACE_SECONDS
        )
        node.process.send_signal(signal.SIGTERM)
        while node.process.poll() is None:
            node.process.send_signal(second)
            await curio.sleep(_SIGNAL_INTERVAL_SECONDS)
        self.assertEqual(node.process.wait(), 0)
        for task in tasks:
            await task.cancel()

    async def _stop(self, route_type: str) -> None:
        ran: list[str] = []

        async def script(exchange: Exchange) -> None:  # noqa: WPS430
            ran.append(exchange.headers['request-id'])
            if route_type == 'streaming':
                await _answer_slowly(exchange)
            else:
                await curio.sleep(_WORK_SECONDS)
                await exchange.answer(b'end')

        tasks, node = await self._start(
            script, f'n-{route_type}', _GRACE_SECONDS, type=route_type
        )
        clients = await _run_clients(node)
        verdicts = Counter(
            client.verdict(has_run=client.name in ran) for client in clients
        )
        self.assertEqual(node.process.wait(), 0)
        self.assertEqual(
            set(verdicts) - {'whole', 'refused', 'not run'}, set(), verdicts
        )
        self.assertGreater(verdicts['refused'], 0)
        for task in tasks:
            await task.cancel()

    async def _start(
        self, script: Script, name: str, grace: float, **route: Any
    ) -> tuple[list[curio.Task], NodeProcess]:
        """Start a target, a store and a node that serves."""
        target = FakeTarget('t-1', script)
        store = add_config_and_target(StandinStore(), target, 1000, **route)
        store_task, platform = await start(store)
        tasks = [store_task, await curio.spawn(target.run)]
        node = self.start_node(
            platform, name, stop_grace_seconds=grace, first_start=True
        )
        await until(lambda: node.events('node_informed'), _START_SECONDS)
        return tasks, node


async def _answer_slowly(exchange: Exchange) -> None:
    await exchange.start_stream()
    for number in range(1, _EVENTS + 1):
        await curio.sleep(_WORK_SECONDS / _EVENTS)
        await exchange.events(number, number)
    await exchange.chunk(b'id: 99\ndata: end\n\n')
    await exchange.end_stream()


async def _run_clients(node: NodeProcess) -> list[_Client]:
    """Stop a node while clients send; return them once it has ended."""
    source = random.Random(7)
    clients = [_Client(f'w{number}') for number in range(_WARM_UP)]
    async with curio.TaskGroup(wait=all) as warm_up:
        for client in clients:
            await warm_up.spawn(client.send, node.client)
    async with curio.TaskGroup(wait=all) as tasks:
        signal_at = time.monotonic() + 0.3
        for number in range(_BEGUN_BEFORE):
            client = _Client(f'b{number}')
            clients.append(client)
            finish_at = signal_at + source.uniform(0, _GRACE_SECONDS)
            await tasks.spawn(client.send, node.client, finish_at)
        await curio.sleep(max(0, signal_at - time.monotonic()))
        node.process.send_signal(signal.SIGTERM)
        while node.process.poll() is None:
            client = _Client(f'n{len(clients)}')
            clients.append(client)
            await tasks.spawn(client.send, node.client)
            await curio.sleep(_NEW_INTERVAL_SECONDS)
    return clients
