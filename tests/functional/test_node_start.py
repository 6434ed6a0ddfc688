"""What clients of a node meet while it starts, as a process of its own.

Loading the program took 0.55 s of processor time, over a second of a small
machine, and until then nobody listened: after all nodes had lost power at once,
191 requests found no listener and were lost.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any

import curio

from cranecart.exceptions import HttpError
from cranecart.http import Address, HttpConnection, Request, Response
from cranecart.listening import ADDRESS_VARIABLE
from tests.lib.fake_targets import Exchange, FakeTarget
from tests.platform._standin import StandinStore, start

_KEY = 'secret'
_SECONDS = 15.0
_TARGET = 't-1'


async def _answer(exchange: Exchange) -> None:
    await exchange.answer(b'whole')


def _free_port() -> int:
    with socket.create_server(('127.0.0.1', 0)) as sock:
        port: int = sock.getsockname()[1]
        return port


def _store_with(target: FakeTarget) -> StandinStore:
    store = StandinStore()
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

    def __init__(self, folder: Path, platform: Address) -> None:
        self.client = Address('127.0.0.1', _free_port())
        self.ready = Address('127.0.0.1', _free_port())
        settings = {
            'node_id': 'n',
            'failure_domain': 'east',
            'client_address': str(self.client),
            'ready_address': str(self.ready),
            'peer_address': f'127.0.0.1:{_free_port()}',
            'metrics_address': f'127.0.0.1:{_free_port()}',
            'platform_address': str(platform),
            'log_successes': 1,
        }
        file = folder / 'node.json'
        file.write_text(json.dumps(settings))
        self._log = folder / 'log'
        variables = {**os.environ, ADDRESS_VARIABLE: str(self.client)}
        command = (sys.executable, '-m', 'cranecart', 'serve', str(file))
        with self._log.open('wb') as log:
            self.process = subprocess.Popen(
                command,
                stdout=log,
                env=variables,
            )

    def started_at(self) -> float:
        """Return when the node said that it has started."""
        lines = map(json.loads, self._log.read_text().splitlines())
        return next(
            line['time'] for line in lines if line['event'] == 'node_started'
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
    head = await connection.ask(_request())
    return Response(head.status, head.headers, await connection.read_body())


class NodeStartTest(unittest.TestCase):
    """A process that starts, seen by its first client."""

    def setUp(self) -> None:
        """Make a folder."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def test_a_connection_made_before_it_is_there(self) -> None:
        """It waits, and its request is answered by a target."""
        curio.run(self._meet_a_starting_node)

    def test_the_store_is_away(self) -> None:
        """The client is told within its time, and when to come back."""
        curio.run(self._meet_a_node_without_store)

    def test_stopped_while_it_starts(self) -> None:
        """The process ends at once, and its client is not left hanging."""
        curio.run(self._stop_a_starting_node)

    async def _meet_a_starting_node(self) -> None:
        target = FakeTarget(_TARGET, _answer)
        serving = await curio.spawn(target.run)
        task, platform = await start(_store_with(target))
        node = self._start(platform)
        connection = await _connect(node.client)
        connected_at = time.time()
        response = await curio.timeout_after(_SECONDS, _ask, connection)
        self.assertEqual(response.status, 200)
        await curio.sleep(0.3)
        self.assertLess(connected_at, node.started_at())
        await task.cancel()
        await serving.cancel()

    async def _meet_a_node_without_store(self) -> None:
        node = self._start(Address('127.0.0.1', _free_port()))
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
        node = self._start(Address('127.0.0.1', _free_port()))
        connection = await _connect(node.client)
        node.process.send_signal(signal.SIGTERM)
        ends = time.monotonic() + 1
        while node.process.poll() is None and time.monotonic() < ends:
            await curio.sleep(0.01)
        self.assertIn(node.process.poll(), {0, -signal.SIGTERM})
        with self.assertRaises(HttpError):
            await curio.timeout_after(1, _ask, connection)

    def _start(self, platform: Address) -> Any:
        node = _Started(self.folder, platform)
        self.addCleanup(node.end)
        return node
