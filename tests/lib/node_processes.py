"""A process of a node on a stand-in of the platform, with one target."""

import json
import os
import subprocess
import sys
import tempfile
import unittest
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from cranecart.http import Address, Request
from cranecart.listening import ADDRESS_VARIABLE
from tests.lib.fake_targets import FakeTarget
from tests.platform._standin import StandinStore
from tools.processes import Addresses

_KEY = 'secret'
_REDIRECTED_NODE = 'tests.lib.redirected_node'
_TARGET = 't-1'


def add_config_and_target(
    store: StandinStore,
    target: FakeTarget,
    slots: int = 4,
    limits: Mapping[str, float] | None = None,
    **fields: Any,
) -> StandinStore:
    """Add one route, with these fields, and its only target.

    ``limits`` are those of the configuration on what clients send.
    """
    route = {
        'name': 'r',
        'host': 'a.example',
        'pathPrefix': '/',
        'type': 'safe',
        'timeoutMs': 10000,
        'sloMs': 500,
        'service': 'crew',
        'attempts': 2,
        **fields,
    }
    config = {
        'version': 1,
        'routes': [route],
        'services': [{'name': 'crew'}],
        'tenants': [{'name': 'o', 'apiKeys': [_KEY]}],
        'limits': limits or {},
    }
    store.put('op', '', 'config', config)
    add_target(store, _TARGET, target, slots)
    return store


def add_target(
    store: StandinStore, name: str, target: FakeTarget, slots: int
) -> None:
    """Add a target of the only route under a name."""
    entry = {
        'address': str(target.address),
        'service': 'crew',
        'zone': 'east',
        'state': 'ready',
        'slots': slots,
        'born': 1,
    }
    store.put('servers', '', name, entry)


def node_request(request_id: str = 'q1') -> Request:
    """Return a request on the route."""
    return Request(
        'GET',
        '/x',
        {
            'host': 'a.example',
            'authorization': f'Bearer {_KEY}',
            'request-id': request_id,
        },
    )


class NodeProcess:
    """A node's process that has just been started."""

    def __init__(
        self,
        folder: Path,
        addresses: Addresses,
        platform: Address,
        name: str,
        redirects: Mapping[str, str] | None = None,
        **settings: Any,
    ) -> None:
        """Start it, with these settings besides the necessary ones.

        With ``redirects`` it connects to other addresses than those listed.
        """
        self.client = addresses.take()
        self.metrics = addresses.take()
        self.ready = addresses.take()
        self.peer_requests = addresses.take()
        self._settings = {
            'node_id': name,
            'failure_domain': 'east',
            'client_address': str(self.client),
            'ready_address': str(self.ready),
            'peer_address': str(addresses.take()),
            'peer_request_address': str(self.peer_requests),
            'metrics_address': str(self.metrics),
            'platform_address': str(platform),
            'log_successes': 1,
            **settings,
        }
        self._file = folder / f'{name}.json'
        self._log = folder / f'{name}.log'
        # An earlier node of this name may have left one.
        self._log.write_bytes(b'')
        self._program = ('cranecart', 'serve', str(self._file))
        if redirects is not None:
            redirects_file = folder / f'{name}-redirects.json'
            redirects_file.write_text(json.dumps(redirects))
            self._program = (
                _REDIRECTED_NODE,
                str(self._file),
                str(redirects_file),
            )
        self.process = self._start()

    def events(self, name: str) -> list[dict[str, Any]]:
        """Return the complete log lines of an event."""
        complete_lines, _, _ = self._log.read_text().rpartition('\n')
        lines = map(json.loads, complete_lines.splitlines())
        return [line for line in lines if line['event'] == name]

    def started_at(self) -> float | None:
        """Return the logged time of the node's start, or None before it."""
        return next(
            (line['time'] for line in self.events('node_started')), None
        )

    def has_retries(self) -> bool:
        """Return whether it has its share of the retries, if there are any."""
        shares = self.events('retry_share')
        is_shared = bool(shares) and shares[-1]['slack'] > 0
        return is_shared or not self._settings.get('retry_slack')

    def kill(self) -> None:
        """Kill the process."""
        self.process.kill()
        self.process.wait()

    def restart(self) -> None:
        """Start it again after it has stopped; the other nodes went on."""
        self._settings['first_start'] = False
        self.start_again()

    def start_again(self) -> None:
        """Start it again after it has stopped, with the same settings."""
        self.process = self._start()

    def _start(self) -> subprocess.Popen[bytes]:
        self._file.write_text(json.dumps(self._settings))
        variables = {**os.environ, ADDRESS_VARIABLE: str(self.client)}
        with self._log.open('ab') as log:
            return subprocess.Popen(
                (sys.executable, '-m', *self._program),
                stdout=log,
                env=variables,
            )


class NodeProcessTestCase(unittest.TestCase):
    """A test that starts nodes' processes."""

    def setUp(self) -> None:
        """Create a folder for settings and logs, and reserve addresses."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.addresses = Addresses()
        self.addCleanup(self.addresses.release)

    def start_node(
        self, platform: Address, name: str = 'n', **settings: Any
    ) -> NodeProcess:
        """Start a node that is killed after the test."""
        node = NodeProcess(
            self.folder, self.addresses, platform, name, **settings
        )
        self.addCleanup(node.kill)
        return node
