"""Clients that stop reading take up a bounded part of a node's memory.

200 streams whose clients read nothing held 253 MB in the kernel's send buffers
of a node that may use 152 MB, and a stream that was read took 5.4 s instead of
0.6 s.
"""

import re
from collections.abc import Iterable, Mapping
from pathlib import Path

import curio

from cranecart.http import Address, HttpConnection, Request
from tests.lib.fake_targets import Exchange, FakeTarget
from tests.lib.memory import peak_bytes
from tests.lib.node_processes import (
    NodeProcess,
    NodeProcessTestCase,
    add_config_and_target,
    node_request,
)
from tests.lib.waiting import until
from tests.platform._standin import StandinStore, start

_MEMORY_MB = 152
_MEGABYTE = 1_000_000
_UNREAD = 200
# Streams do not become unread exactly in the order in which they were started.
_FIRST_QUARTER = range(_UNREAD // 4)
_LAST_QUARTER = range(_UNREAD - _UNREAD // 4, _UNREAD)
_READ = 10
_EVENT = b'id: %%d\ndata: %b\n\n' % (b'x' * 8000)
# 0.8 MB, far more than the buffers between a target and a client hold.
_EVENTS = 100
_START_SECONDS = 15


async def _stream(exchange: Exchange) -> None:
    await exchange.start_stream()
    for number in range(1, _EVENTS + 1):
        await exchange.chunk(_EVENT % number)
        await curio.sleep(0.005)
    await exchange.end_stream()


class UnreadResponsesTest(NodeProcessTestCase):
    """A node's process of 152 MB."""

    def test_longest_unread_are_cut(self) -> None:
        """The node stays under its limit, and other clients are served."""
        curio.run(self._stop_reading)

    async def _stop_reading(self) -> None:
        target = FakeTarget('t-1', _stream)
        serving = await curio.spawn(target.run)
        store = add_config_and_target(
            StandinStore(),
            target,
            slots=1000,
            type='streaming',
            # Streams must not be cut for their deadline beside load.
            timeoutMs=60000,
        )
        task, platform = await start(store)
        node = self.start_node(
            platform, memory_mb=_MEMORY_MB, platform_features=['pressure']
        )
        await until(lambda: node.events('node_informed'), _START_SECONDS)
        unread = await _start_all(node, _UNREAD)
        async with curio.TaskGroup(wait=all) as readers:
            for number in range(_READ):
                await readers.spawn(_read, node, f'read{number}')
        self.assertEqual(set(readers.results), {_EVENTS})
        await until(lambda: len(node.events('unread_cut')) > _UNREAD // 4)
        self._check_cut(node, target, await _counters(node))
        await _close(unread)
        for running in (serving, task):
            await running.cancel()

    def _check_cut(
        self, node: NodeProcess, target: FakeTarget, counters: Mapping[str, int]
    ) -> None:
        self.assertLess(_memory_bytes(node, target), _MEMORY_MB * _MEGABYTE)
        cut = {line['request'] for line in node.events('unread_cut')}
        first, last = (
            sum(f'unread{number}' in cut for number in numbers)
            for numbers in (_FIRST_QUARTER, _LAST_QUARTER)
        )
        self.assertGreater(first, last)
        # More may have been cut since the lines were read.
        self.assertGreaterEqual(counters['unread_responses_cut'], _UNREAD // 4)
        self.assertLess(counters['unread_bytes'], _MEMORY_MB * _MEGABYTE / 8)


async def _start(node: NodeProcess, request_id: str) -> HttpConnection:
    connection = await HttpConnection.open(node.client)
    await connection.send(node_request(request_id))
    return connection


async def _start_all(node: NodeProcess, count: int) -> list[HttpConnection]:
    return [await _start(node, f'unread{number}') for number in range(count)]


async def _read(node: NodeProcess, request_id: str) -> int:
    connection = await _start(node, request_id)
    await connection.read_head()
    body = await connection.read_body()
    await connection.close()
    return body.count(b'\n\n')


async def _close(connections: Iterable[HttpConnection]) -> None:
    for connection in connections:
        await connection.close()


async def _counters(node: NodeProcess) -> Mapping[str, int]:
    connection = await HttpConnection.open(node.metrics)
    await connection.send_and_read_head(Request('GET', '/metrics'))
    metrics = await connection.read_body()
    await connection.close()
    return {
        name.decode(): int(number)
        for name, number in re.findall(rb'what="(\w+)"} (\d+)', metrics)
    }


def _memory_bytes(node: NodeProcess, target: FakeTarget) -> int:
    """Return the peak of a node's own memory and its sockets' memory now."""
    sockets = [
        line.split()
        for line in Path('/proc/net/tcp').read_text('utf-8').splitlines()[1:]
    ]
    queued = sum(
        int(queue, 16)
        for _number, local, remote, _state, queues, *_rest in sockets
        if _has_port(local, node.client) or _has_port(remote, target.address)
        for queue in queues.split(':')
    )
    # The kernel needs about as much again for its own data.
    return peak_bytes(node.process.pid) + 2 * queued


def _has_port(socket_address: str, address: Address) -> bool:
    return socket_address.endswith(f':{address.port:04X}')
