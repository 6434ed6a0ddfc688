"""Streams through nodes' processes, from targets with one silence."""

import re
import time
from collections.abc import Callable, Sequence
from typing import Any

import attrs
import curio

from cranecart.exceptions import HttpError
from cranecart.http import Address, HttpConnection, Request
from tests.lib.fake_targets import FakeTarget
from tests.lib.node_processes import NodeProcess
from tests.lib.silent_targets import DEADLINE_SECONDS, SilentTargets
from tests.lib.waiting import until
from tests.platform._standin import StandinStore, start

_HOST = 'a.example'
_KEY = 'secret'
_OK = 200
# A share of the retries is given only some seconds after a start.
_START_SECONDS = 30.0
_SLOTS = 1000
_MILLISECONDS = 1000
_EVENT_ID = re.compile(rb'^id: (\d+)$', re.MULTILINE)


@attrs.frozen
class ReceivedStream:
    """What a client received; the status is 0 if it got no response."""

    request_id: str
    status: int
    events: Sequence[int]
    is_complete: bool

    @property
    def is_cut(self) -> bool:
        """Return whether it began and did not end."""
        return self.status == _OK and not self.is_complete


@attrs.define
class NodeStreams:
    """Nodes of one store, scripted targets and clients with long streams.

    ``start_node`` starts a process with a name and settings.
    """

    targets: SilentTargets
    start_node: Callable[..., NodeProcess]
    store: StandinStore = attrs.field(factory=StandinStore, init=False)
    nodes: list[NodeProcess] = attrs.field(factory=list, init=False)
    _tasks: list[curio.Task] = attrs.field(factory=list, init=False)

    async def start(
        self,
        nodes: int = 1,
        targets: int = 2,
        route_type: str = 'streaming',
        **settings: Any,
    ) -> None:
        """Start targets, store and nodes; return once all nodes serve."""
        self.put_config(1, route_type)
        for number in range(targets):
            target = FakeTarget(f't-{number}', self.targets.script(number))
            self._tasks.append(await curio.spawn(target.run))
            self.store.put('servers', '', target.name, _listed(target.address))
        task, platform = await start(self.store)
        self._tasks.append(task)
        self.nodes = [
            self.start_node(platform, f'n{number}', **_node_settings(settings))
            for number in range(nodes)
        ]
        await until(lambda: all(map(_is_settled, self.nodes)), _START_SECONDS)

    async def stop(self) -> None:
        """Stop targets and store."""
        for task in self._tasks:
            await task.cancel()

    def put_config(self, version: int, route_type: str = 'streaming') -> None:
        """Write a configuration whose services and routes stay the same."""
        route = {
            'name': 'r',
            'host': _HOST,
            'pathPrefix': '/',
            'type': route_type,
            'resumable': True,
            'timeoutMs': DEADLINE_SECONDS * _MILLISECONDS,
            'sloMs': 500,
            'gapTargetMs': 200,
            'service': 'crew',
            'attempts': 2,
        }
        config = {
            'version': version,
            'routes': [route],
            'services': [{'name': 'crew'}],
            'tenants': [{'name': 'o', 'apiKeys': [_KEY]}],
        }
        self.store.put('op', '', 'config', config)

    async def begin(self, count: int, node: int = 0) -> list[curio.Task]:
        """Send requests to a node; return the tasks of their clients."""
        return [
            await curio.spawn(_receive, self.nodes[node], f's{node}-{number}')
            for number in range(count)
        ]

    async def exit_code(self, node: int = 0) -> int:
        """Return the exit code of a node that has been told to stop."""
        process = self.nodes[node].process
        await until(lambda: process.poll() is not None, DEADLINE_SECONDS)
        return process.wait()


async def received(clients: Sequence[curio.Task]) -> list[ReceivedStream]:
    """Return what clients received, once all their responses have ended."""
    return [await client.join() for client in clients]


async def sleep_until(moment: float) -> None:
    """Sleep until a monotonic time."""
    await curio.sleep(max(0, moment - time.monotonic()))


def _is_settled(node: NodeProcess) -> bool:
    return bool(node.events('node_informed')) and node.has_retries()


def _node_settings(settings: dict[str, Any]) -> dict[str, Any]:
    return {'first_start': True, 'retry_slack': 100, **settings}


def _listed(address: Address) -> dict[str, Any]:
    return {
        'address': str(address),
        'service': 'crew',
        'zone': 'east',
        'state': 'ready',
        'slots': _SLOTS,
        'born': 1,
    }


async def _receive(node: NodeProcess, request_id: str) -> ReceivedStream:
    headers = {
        'host': _HOST,
        'authorization': f'Bearer {_KEY}',
        'request-id': request_id,
        'deadline-ms': str(round(DEADLINE_SECONDS * _MILLISECONDS)),
    }
    request = Request('POST', '/x', headers, request_id.encode())
    status = 0
    is_complete = False
    body = bytearray()
    connection = await HttpConnection.open(node.client)
    try:
        status = (await connection.send_and_read_head(request)).status
        while chunk := await connection.read_chunk():
            body += chunk
        is_complete = True
    except HttpError:
        is_complete = False
    finally:
        await connection.close()
    events = [int(number) for number in _EVENT_ID.findall(body)]
    return ReceivedStream(request_id, status, events, is_complete)
