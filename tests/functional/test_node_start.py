"""What clients of a node meet while it starts, as a process of its own.

Loading the program took 0.55 s of processor time, over a second of a small
machine, and until then nobody listened: after all nodes had lost power at once,
191 requests found no listener and were lost.
"""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any

import curio

from cranecart.exceptions import HttpError
from cranecart.http import (
    Address,
    HttpConnection,
    Request,
    Responder,
    Response,
)
from cranecart.listening import ADDRESS_VARIABLE
from tests.lib.fake_targets import Exchange, FakeTarget
from tests.lib.waiting import until
from tests.platform._standin import StandinStore, start
from tools.processes import Addresses

_KEY = 'secret'
_SECONDS = 15.0
_TARGET = 't-1'
_NODES = 6
# A slow store's answers on the users' sheets.
_SLOW_SECONDS = 0.25


class _SlowStore(StandinStore):
    """A stand-in whose answers take their time."""

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one call late."""
        await curio.sleep(_SLOW_SECONDS)
        await super().handle(request, responder)


async def _answer(exchange: Exchange) -> None:
    await exchange.answer(b'whole')


def _fill(store: StandinStore, target: FakeTarget) -> StandinStore:
    route = {
        'name': 'r',
        'host': 'a.example',
        'pathPrefix': '/',
        'type': 'safe',
        'timeoutMs': 10000,
        'sloMs': 500,
        'service': 'crew',
        'attempts': 2,
    }
    config = {
        'version': 1,
        'routes': [route],
        'services': [{'name': 'crew'}],
        'tenants': [{'name': 'o', 'apiKeys': [_KEY]}],
    }
    store.put('op', '', 'config', config)
    entry = {
        'address': str(target.address),
        'service': 'crew',
        'zone': 'east',
        'state': 'ready',
        'slots': 4,
        'born': 1,
    }
    store.put('servers', '', _TARGET, entry)
    return store


class _Started:
    """A node's process, begun a moment ago."""

    def __init__(
        self,
        folder: Path,
        addresses: Addresses,
        platform: Address,
        name: str,
    ) -> None:
        self.client = addresses.take()
        settings = {
            'node_id': name,
            'failure_domain': 'east',
            'client_address': str(self.client),
            'ready_address': str(addresses.take()),
            'peer_address': str(addresses.take()),
            'metrics_address': str(addresses.take()),
            'platform_address': str(platform),
            'log_successes': 1,
        }
        file = folder / f'{name}.json'
        file.write_text(json.dumps(settings))
        self._log = folder / f'{name}.log'
        variables = {**os.environ, ADDRESS_VARIABLE: str(self.client)}
        command = (sys.executable, '-m', 'cranecart', 'serve', str(file))
        with self._log.open('wb') as log:
            self.process = subprocess.Popen(
                command,
                stdout=log,
                env=variables,
            )

    def started_at(self) -> float | None:
        """Return when the node said that it has started, once it has."""
        whole, _, _ = self._log.read_text().rpartition('\n')
        lines = map(json.loads, whole.splitlines())
        return next(
            (line['time'] for line in lines if line['event'] == 'node_started'),
            None,
        )

    def end(self) -> None:
        """Leave nothing behind."""
        self.process.kill()
        self.process.wait()


async def _connect(address: Address) -> HttpConnection:
    ends = time.monotonic() + _SECONDS
    while time.monotonic() < ends:
        try:
            return await HttpConnection.open(address)
        except HttpError:
            await curio.sleep(0.005)
    raise AssertionError('nobody listens')


def _request() -> Request:
    return Request(
        'GET',
        '/x',
        {
            'host': 'a.example',
            'authorization': f'Bearer {_KEY}',
            'request-id': 'q1',
        },
    )


async def _ask(connection: HttpConnection) -> Response:
    head = await connection.send_and_read_head(_request())
    return Response(head.status, head.headers, await connection.read_body())


async def _meet(node: _Started) -> tuple[float, int]:
    """Connect as soon as may be; return when, and what the answer was."""
    connection = await _connect(node.client)
    connected_at = time.time()
    response = await curio.timeout_after(_SECONDS, _ask, connection)
    return connected_at, response.status


class NodeStartTest(unittest.TestCase):
    """A process that starts, seen by its first client."""

    def setUp(self) -> None:
        """Make a folder."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.addresses = Addresses()
        self.addCleanup(self.addresses.release)

    def test_a_connection_made_before_it_is_there(self) -> None:
        """It waits, and its request is answered by a target."""
        curio.run(self._meet_starting_nodes, StandinStore(), 1)

    def test_the_store_is_slow(self) -> None:
        """It waits for what the node has to read."""
        curio.run(self._meet_starting_nodes, _SlowStore(), 1)

    def test_all_start_at_one_moment(self) -> None:
        """No client of any of them is refused."""
        curio.run(self._meet_starting_nodes, StandinStore(), _NODES)

    def test_the_store_is_away(self) -> None:
        """The client is told within its time, and when to come back."""
        curio.run(self._meet_a_node_without_store)

    def test_stopped_while_it_starts(self) -> None:
        """The process ends at once, and its client is not left hanging."""
        curio.run(self._stop_a_starting_node)

    async def _meet_starting_nodes(
        self,
        store: StandinStore,
        count: int,
    ) -> None:
        target = FakeTarget(_TARGET, _answer)
        serving = await curio.spawn(target.run)
        task, platform = await start(_fill(store, target))
        nodes = [self._start(platform, f'n{one}') for one in range(count)]
        clients = [await curio.spawn(_meet, node) for node in nodes]
        for node, client in zip(nodes, clients, strict=True):
            connected_at, status = await client.join()
            self.assertEqual(status, 200)
            await until(node.started_at)
            self.assertLess(connected_at, node.started_at())
        await task.cancel()
        await serving.cancel()

    async def _meet_a_node_without_store(self) -> None:
        node = self._start(self.addresses.take())
        connection = await _connect(node.client)
        response = await curio.timeout_after(_SECONDS, _ask, connection)
        self.assertEqual(response.status, 503)
        self.assertIn('retry-after', response.headers)
        before = time.monotonic()
        connection.reset()
        again = await curio.timeout_after(_SECONDS, _ask, connection)
        self.assertEqual(again.status, 503)
        self.assertLess(time.monotonic() - before, 0.3)

    async def _stop_a_starting_node(self) -> None:
        node = self._start(self.addresses.take())
        connection = await _connect(node.client)
        node.process.send_signal(signal.SIGTERM)
        ends = time.monotonic() + 1
        while node.process.poll() is None and time.monotonic() < ends:
            await curio.sleep(0.01)
        self.assertIn(node.process.poll(), {0, -signal.SIGTERM})
        with self.assertRaises(HttpError):
            await curio.timeout_after(1, _ask, connection)

    def _start(self, platform: Address, name: str = 'n') -> Any:
        node = _Started(self.folder, self.addresses, platform, name)
        self.addCleanup(node.end)
        return node
