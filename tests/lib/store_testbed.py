"""Several nodes and one store in a single process.

Each node has the parts that follow the store and that share updates with other
nodes. The store is the stand-in of the platform's store, reached over real
connections, and can be restored from a backup.
"""

import random
from collections.abc import Awaitable, Callable, Iterable
from types import MappingProxyType
from typing import Any, Self

import attrs
import curio
import msgspec

from cranecart.exceptions import ConnectFailedError
from cranecart.fleet import (
    RECORDS_PART,
    RECORDS_TABLE,
    Fleet,
    mark_leaving,
)
from cranecart.http import Address, Request, Response
from cranecart.mesh import (
    LocalState,
    Mesh,
    MeshCallbacks,
    MeshMessage,
    PeerNode,
    decode_mesh_message,
    encode_mesh_message,
)
from cranecart.platform import (
    PlatformCallTranslator,
    PlatformConfigSource,
    PlatformOrders,
    PlatformRowSource,
    PlatformTable,
    PlatformTargetList,
    StoreClient,
)
from cranecart.quarantine import CaseRegistry, HeldRows
from cranecart.serving._active_config import ActiveRouteConfig
from cranecart.serving._followers import PlatformFollowers, RowDispatcher
from cranecart.serving._platform_adapters import PlatformAdapters
from cranecart.transport import PeerTransport
from tests.lib.waiting import until
from tests.platform._standin import StandinStore, start

_HEARTBEAT_SECONDS = 0.25
_LINK_DELAY_SECONDS = 0.002
_DOMAINS = 3
# Nodes identify each other by these addresses; nothing listens there.
_FIRST_PORT = 1000
_START_SECONDS = 15.0
SERVICE = 'crew'
_ROUTE = MappingProxyType(
    {
        'name': 'r',
        'host': 'a.example',
        'pathPrefix': '/',
        'type': 'safe',
        'timeoutMs': 1000,
        'service': SERVICE,
        'attempts': 2,
    },
)


def config_row(version: int, **changed: object) -> dict[str, Any]:
    """Return the operator's row for a version."""
    return {
        'version': version,
        'routes': [{**_ROUTE, **changed}],
        'services': [{'name': SERVICE}],
    }


def entry_row(state: str = 'ready', **changed: object) -> dict[str, Any]:
    """Return an instance's entry."""
    entry = {
        'address': '127.0.0.1:9',
        'service': SERVICE,
        'zone': 'd0',
        'state': state,
        'slots': 4,
        'born': 1,
    }
    return {**entry, **changed}


def populated_store(instances: int) -> StandinStore:
    """Return a store with version 10 and instances ``i-0``, ``i-1`` and so on."""
    store = StandinStore(era=1)
    store.put('op', '', 'config', config_row(10))
    for number in range(instances):
        store.put('servers', '', f'i-{number}', entry_row(born=number + 1))
    return store


class TestbedLink(PeerTransport[MeshMessage]):
    """A transport that passes messages to the testbed instead of sockets."""

    def __init__(self, testbed: 'StoreTestbed') -> None:  # noqa: WPS612
        """Create the transport of one node."""
        self._testbed = testbed

    def send_all(
        self,
        addresses: Iterable[str],
        message: MeshMessage,
    ) -> None:
        """Queue an encoded message for delivery."""
        encoded = encode_mesh_message(message)
        self._testbed.in_flight.extend(
            (address, encoded) for address in addresses
        )

    def disconnect(self, address: str) -> None:
        """Do nothing, as there is no socket."""


@attrs.define
class PartitionableClient(StoreClient):
    """A client that a test may partition from the store."""

    is_partitioned: bool = attrs.field(default=False, init=False)

    async def _exchange(self, request: Request, seconds: float) -> Response:
        if self.is_partitioned:
            raise ConnectFailedError('partitioned from the store by the test')
        return await super()._exchange(request, seconds)


@attrs.define
class TestbedNode:
    """The state of one node and the parts that keep it up to date."""

    name: str
    client: PartitionableClient
    platform_adapters: PlatformAdapters
    config: ActiveRouteConfig
    fleet: Fleet
    held_rows: HeldRows
    book: CaseRegistry
    mesh: Mesh
    followers: PlatformFollowers

    @classmethod
    def create(cls, testbed: 'StoreTestbed', name: str) -> Self:
        """Build a node that has read nothing yet."""
        client = PartitionableClient(testbed.address)
        platform_adapters = _platform_adapters(client)
        config = ActiveRouteConfig()
        fleet = Fleet()
        book = CaseRegistry()
        held_rows = HeldRows(name, platform_adapters.table, book)

        def refresh_local_state() -> None:  # noqa: WPS430
            mesh.local.source_versions = followers.announced_versions()
            mesh.local.evacuations = list(fleet.evacuations.known())

        events = MeshCallbacks(
            lambda message: fleet.mark_stopped(
                (message.replica, message.epoch), message.reason
            ),
            _ignore_suspicion,
            lambda _message: False,
            lambda update: followers.apply_list_update(update),
            lambda update: followers.apply_record_update(update),
            dict,
            config.current,
            config.apply_from_peer,
            refresh_local_state,
            lambda _message: None,
            lambda _message: None,
            lambda message: mark_leaving(
                fleet, message.incarnation, message.sender
            ),
            fleet.evacuations.merge,
        )
        domain = f'd{int(name.rpartition("-")[2]) % _DOMAINS}'
        local = LocalState(name, _peer_address(name), domain)
        mesh = Mesh(local, TestbedLink(testbed), events)
        followers = PlatformFollowers.from_adapters(
            platform_adapters,
            config,
            RowDispatcher(mesh, fleet, held_rows),
            random.Random(name),
        )
        return cls(
            name,
            client,
            platform_adapters,
            config,
            fleet,
            held_rows,
            book,
            mesh,
            followers,
        )

    @property
    def version(self) -> int:
        """Return the version of the active configuration."""
        config = self.config.current()
        return 0 if config is None else config.version

    async def run(self) -> None:
        """Follow the store and send heartbeats until cancelled."""
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(self.followers.run)
            await tasks.spawn(self.mesh.running_clock.run)
            await tasks.spawn(self._send_heartbeats)

    async def receive(self, encoded: bytes) -> None:
        """Handle an encoded message of another node."""
        await self.mesh.message_handler.handle(decode_mesh_message(encoded))

    async def _send_heartbeats(self) -> None:
        tick = 0
        while True:
            self.mesh.message_sender.send_heartbeat(
                include_silent=tick % 8 == 0
            )
            self.mesh.message_sender.request_newer_config()
            self.fleet.process_timeouts()
            tick += 1
            await curio.sleep(_HEARTBEAT_SECONDS)


@attrs.define
class StoreTestbed:
    """A store, nodes by name, and the messages in flight between them."""

    store: StandinStore
    address: Address
    in_flight: list[tuple[str, bytes]] = attrs.field(factory=list, init=False)
    nodes: dict[str, TestbedNode] = attrs.field(factory=dict, init=False)
    _tasks: dict[str, curio.Task] = attrs.field(factory=dict, init=False)

    @classmethod
    async def of(cls, count: int, store: StandinStore) -> Self:
        """Serve a store and start nodes; wait until all have read it."""
        server, address = await start(store)
        testbed = cls(store, address)
        testbed._tasks['store'] = server
        testbed._tasks['wire'] = await curio.spawn(testbed._deliver_messages)
        for number in range(count):
            await testbed.start(f'node-{number:02}')
        await until(testbed.is_informed, _START_SECONDS)
        return testbed

    async def start(self, name: str) -> TestbedNode:
        """Start a node and register it in the table for all nodes."""
        node = TestbedNode.create(self, name)
        self.nodes[name] = node
        peers = {
            running_node.name: PeerNode(
                running_node.mesh.local.address,
                running_node.mesh.local.failure_domain,
            )
            for running_node in self.nodes.values()
        }
        for peer_name, peer in peers.items():
            self.store.put(
                RECORDS_TABLE,
                RECORDS_PART,
                f'node/{peer_name}',
                msgspec.to_builtins(peer),
            )
        for running_node in self.nodes.values():
            running_node.mesh.update_peers(peers, False)
        self._tasks[name] = await curio.spawn(node.run)
        return node

    async def kill(self, name: str) -> None:
        """Kill a node without a shutdown."""
        self.nodes.pop(name)
        await self._tasks.pop(name).cancel()

    async def close(self) -> None:
        """Stop all nodes, the store and the message delivery."""
        for task in self._tasks.values():
            await task.cancel()

    def is_informed(self) -> bool:
        """Return whether all nodes have read everything once."""
        return all(
            node.followers.is_informed and node.version
            for node in self.nodes.values()
        )

    def reader(self) -> str:
        """Return the name of the node that reads the instance list for all."""
        return min(
            name
            for name, node in self.nodes.items()
            if node.mesh.local.source_versions
        )

    def all_know_peer(self, name: str) -> bool:
        """Return whether all nodes have read the row of a peer."""
        return all(
            name in node.mesh.state.roster.peers for node in self.nodes.values()
        )

    def all_have_version(self, version: int) -> bool:
        """Return whether a configuration version is active at all nodes."""
        return all(node.version == version for node in self.nodes.values())

    def all_have_evacuated(self, *failure_domains: str) -> bool:
        """Return whether exactly these domains are evacuated at all nodes."""
        return all(
            node.fleet.evacuations.active() == set(failure_domains)
            for node in self.nodes.values()
        )

    def all_have_attempts(self, attempts: int) -> bool:
        """Return whether all routes at all nodes allow this many attempts."""
        configs = [node.config.current() for node in self.nodes.values()]
        return all(
            config is not None
            and all(route.attempts == attempts for route in config.routes)
            for config in configs
        )

    def none_uses(self, name: str) -> bool:
        """Return whether no node would send requests to an instance."""
        return not any(
            instance.id == name
            for node in self.nodes.values()
            for instance in node.fleet.available(SERVICE)
        )

    def all_use(self, name: str) -> bool:
        """Return whether every node would send requests to an instance."""
        return all(
            name in {instance.id for instance in node.fleet.available(SERVICE)}
            for node in self.nodes.values()
        )

    async def _deliver_messages(self) -> None:
        while True:
            messages = self.in_flight
            self.in_flight = []
            nodes = {
                node.mesh.local.address: node for node in self.nodes.values()
            }
            for address, encoded in messages:
                node = nodes.get(address)
                if node is not None:
                    await node.receive(encoded)
            await curio.sleep(_LINK_DELAY_SECONDS)


def run_scenario(
    count: int,
    instances: int,
    settle_seconds: float,
    scenario: Callable[[StoreTestbed], Awaitable[None]],
) -> None:
    """Run a scenario with nodes that have discovered each other."""
    curio.run(_run_scenario, count, instances, settle_seconds, scenario)


async def _run_scenario(
    count: int,
    instances: int,
    settle_seconds: float,
    scenario: Callable[[StoreTestbed], Awaitable[None]],
) -> None:
    testbed = await StoreTestbed.of(count, populated_store(instances))
    await curio.sleep(settle_seconds)
    try:
        await scenario(testbed)
    finally:
        await testbed.close()


def _peer_address(name: str) -> str:
    return f'127.0.0.1:{_FIRST_PORT + int(name.rpartition("-")[2])}'


def _platform_adapters(store: StoreClient) -> PlatformAdapters:
    return PlatformAdapters(
        PlatformTable(store),
        PlatformConfigSource(store),
        PlatformTargetList(store),
        PlatformRowSource(store, RECORDS_TABLE, (RECORDS_PART,)),
        PlatformOrders(),
        PlatformCallTranslator(),
        store.counts,
    )


async def _ignore_suspicion(_message: object) -> None:
    """Ignore the suspicion of another node."""
