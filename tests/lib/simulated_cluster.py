"""Simulation of a cluster of mesh nodes, without sockets, on a fake clock."""

import contextlib
import heapq
import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping

import attrs

from cranecart.fleet import Evacuations
from cranecart.load_shedding import LoadExchange
from cranecart.mesh import (
    Heartbeat,
    LocalState,
    Mesh,
    MeshCallbacks,
    MeshMessage,
    PeerNode,
    Stopped,
    Summary,
    decode_mesh_message,
    encode_mesh_message,
)
from cranecart.mesh._handler import MessageHandler
from cranecart.mesh._sender import MessageSender
from cranecart.mesh._state import MeshState
from cranecart.models import RouteConfig
from cranecart.quarantine import CaseRegistry
from cranecart.throttling import LimitUpdate
from cranecart.transport import PeerTransport

HEARTBEAT_SECONDS = 0.25
_DOMAIN_COUNT = 3
# A test fails after this many deliveries, as messages that trigger each other
# endlessly would make it hang.
_MAX_DELIVERIES = 20000


class SimulatedTransport(PeerTransport[MeshMessage]):
    """A transport that hands messages to the simulation, not to sockets."""

    def __init__(self, cluster: 'SimulatedCluster', name: str) -> None:  # noqa: WPS612
        """Set the cluster and the name of the sending node."""
        self._cluster = cluster
        self._name = name

    def send_all(
        self,
        addresses: Iterable[str],
        message: MeshMessage,
    ) -> None:
        """Queue a message for several nodes, encoded as on the wire."""
        encoded = encode_mesh_message(message)
        for address in addresses:
            self._cluster.enqueue(self._name, address, encoded)

    def disconnect(self, address: str) -> None:
        """Do nothing, as there is no socket."""

    def close_idle(self, seconds: float) -> None:
        """Do nothing, as there is no socket."""


@attrs.frozen(order=True)
class _Delivery:
    """A message in transit, ordered by arrival and then by sending."""

    at: float
    number: int
    sender: str
    address: str
    encoded: bytes


@attrs.define
class SimulatedCluster:
    """Nodes by name, the messages in transit, and the injected faults.

    A message arrives once the links of both nodes have carried it, each way
    ``link_bytes_per_second``, behind the messages before it.
    """

    now: float = 100
    link_bytes_per_second: float = float('inf')
    nodes: dict[str, 'SimulatedNode'] = attrs.field(factory=dict, init=False)
    sent: Counter[str] = attrs.field(factory=Counter, init=False)
    sent_bytes: Counter[str] = attrs.field(factory=Counter, init=False)
    cross_domain_bytes: int = attrs.field(default=0, init=False)
    dead: set[str] = attrs.field(factory=set, init=False)
    # Network partitions: nodes of different groups do not reach each other.
    partitions: dict[str, int] = attrs.field(factory=dict, init=False)
    # Pairs of sender and receiver between which all messages are lost.
    lost_paths: set[tuple[str, str]] = attrs.field(factory=set, init=False)
    # In Mbit/s by node, as each node's row states it.
    links: dict[str, float] = attrs.field(factory=dict, init=False)
    drops_stop_messages: bool = attrs.field(default=False, init=False)
    # A heap by time of arrival, then in the order of sending.
    _in_transit: list[_Delivery] = attrs.field(factory=list, init=False)
    _sequence: Iterator[int] = attrs.field(factory=itertools.count, init=False)
    # When the links of senders and receivers have carried all messages so far.
    _sending_until: defaultdict[str, float] = attrs.field(
        factory=lambda: defaultdict(float), init=False
    )
    _receiving_until: defaultdict[str, float] = attrs.field(
        factory=lambda: defaultdict(float), init=False
    )
    _random: random.Random = attrs.field(
        factory=lambda: random.Random(1),
        init=False,
    )

    @classmethod
    def of(
        cls, count: int, links: Mapping[str, float] | None = None
    ) -> 'SimulatedCluster':
        """Start ``count`` nodes, each with all others as listed peers."""
        cluster = cls()
        cluster.links = dict(links or {})
        for number in range(count):
            cluster.start(f'node-{number:03}')
        return cluster

    @property
    def alive(self) -> list['SimulatedNode']:
        """Return the nodes that are running."""
        return [
            node for name, node in self.nodes.items() if name not in self.dead
        ]

    def start(self, name: str) -> None:
        """Start a node, or restart it with empty state if it exists."""
        self.dead.discard(name)
        self.nodes[name] = SimulatedNode.in_cluster(self, name)
        peers = {
            peer_name: PeerNode(
                node.state.local.address,
                node.domain,
                link_mbps=node.state.local.link_mbps,
            )
            for peer_name, node in self.nodes.items()
        }
        for node in self.alive:
            node.mesh.update_peers(peers, True)

    def enqueue(self, sender: str, address: str, encoded: bytes) -> None:
        """Put a message in transit and count it."""
        arrival = self._arrival(sender, address, len(encoded))
        heapq.heappush(
            self._in_transit,
            _Delivery(arrival, next(self._sequence), sender, address, encoded),
        )
        self.sent[sender] += 1
        self.sent_bytes[sender] += len(encoded)
        if self.nodes[address].domain != self.nodes[sender].domain:
            self.cross_domain_bytes += len(encoded)

    def run(self, seconds: float) -> None:
        """Advance the clock, with a heartbeat of each node per interval."""
        for heartbeat_number in range(round(seconds / HEARTBEAT_SECONDS)):
            for node in self.alive:
                self.now += HEARTBEAT_SECONDS / len(self.alive)
                node.message_sender.send_heartbeat(
                    include_silent=heartbeat_number % 8 == 0
                )
                node.message_sender.request_newer_config()
                self.deliver()

    def deliver(self) -> None:
        """Deliver the messages that have arrived to nodes in reach."""
        for _delivery in range(_MAX_DELIVERIES):
            if not self._in_transit or self._in_transit[0].at > self.now:
                return
            delivery = heapq.heappop(self._in_transit)
            address = delivery.address
            if address not in self.dead and self._can_reach(
                delivery.sender, address
            ):
                self.nodes[address].receive(delivery.encoded)
        raise AssertionError(
            f'messages are still in transit after {_MAX_DELIVERIES} deliveries'
        )

    def stop_replica(self, sender: str, name: str) -> None:
        """Make a node announce that a replica has stopped."""
        node = self.nodes[sender]
        node.stopped.add(name)
        node.mesh.publish_stopped(Stopped(sender, name, 1, 'lost'))
        self.deliver()

    def _arrival(self, sender: str, address: str, size: int) -> float:
        seconds = size / self.link_bytes_per_second
        sent_at = max(self.now, self._sending_until[sender]) + seconds
        self._sending_until[sender] = sent_at
        arrival = max(sent_at, self._receiving_until[address] + seconds)
        self._receiving_until[address] = arrival
        return arrival

    def _can_reach(self, sender: str, address: str) -> bool:
        if (sender, address) in self.lost_paths:
            return False
        return self.partitions.get(sender) == self.partitions.get(address)


@attrs.define
class SimulatedNode:
    """One node: its mesh, and the messages that its callbacks received."""

    mesh: Mesh
    state: MeshState
    message_sender: MessageSender
    message_handler: MessageHandler
    in_flight: Counter[str]
    stopped: set[str]
    versions: list[int]
    configs: list[RouteConfig]
    cases: CaseRegistry
    broken: set[str]
    limits: list[LimitUpdate]
    leaving: set[str]
    evacuations: Evacuations
    cluster: SimulatedCluster
    exchange: LoadExchange
    slow_targets: dict[str, int]

    @classmethod
    def in_cluster(
        cls, cluster: SimulatedCluster, name: str
    ) -> 'SimulatedNode':
        """Create a node; its number determines its failure domain."""
        domain = f'domain-{int(name.rpartition("-")[2]) % _DOMAIN_COUNT}'
        in_flight: Counter[str] = Counter()
        stopped: set[str] = set()
        versions: list[int] = []
        configs: list[RouteConfig] = []
        cases = CaseRegistry(lambda: cluster.now)
        broken: set[str] = set()
        limits: list[LimitUpdate] = []
        leaving: set[str] = set()
        evacuations = Evacuations()
        exchange = LoadExchange(domain)
        slow_targets: dict[str, int] = {}
        local = LocalState(name, name, domain, cluster.links.get(name, 0))

        def refresh_local_state() -> None:  # noqa: WPS430
            local.evacuations = list(evacuations.known())
            _update_offered(local, exchange, cluster.now)

        callbacks = MeshCallbacks(
            lambda message: stopped.add(message.replica),
            _ignore_suspect,
            lambda message: any(
                [cases.merge(update, is_own=False) for update in message.cases],
            ),
            lambda update: versions.append(update.version),
            _ignore,
            lambda: in_flight,
            lambda: configs[-1] if configs else None,
            configs.append,
            refresh_local_state,
            lambda message: broken.add(message.instance),
            lambda message: limits.extend(message.limits),
            lambda message: leaving.add(message.instance),
            evacuations.merge,
            lambda message: _receive_offered(exchange, message, cluster.now),
            lambda _sender, slow: slow_targets.update(slow),
        )
        transport = SimulatedTransport(cluster, name)
        mesh = Mesh(local, transport, callbacks, lambda: cluster.now)
        return cls(
            mesh,
            mesh.state,
            mesh.message_sender,
            mesh.message_handler,
            in_flight,
            stopped,
            versions,
            configs,
            cases,
            broken,
            limits,
            leaving,
            evacuations,
            cluster,
            exchange,
            slow_targets,
        )

    @property
    def domain(self) -> str:
        """Return the node's failure domain."""
        return self.state.local.failure_domain

    def receive(self, encoded: bytes) -> None:
        """Decode and handle a message."""
        message = decode_mesh_message(encoded)
        if self.cluster.drops_stop_messages and isinstance(message, Stopped):
            return
        handling = self.message_handler.handle(message)
        # The handler never blocks here, so one step runs it to its end.
        with contextlib.suppress(StopIteration):
            handling.send(None)


async def _ignore_suspect(_message: object) -> None:
    """Ignore evidence."""


def _ignore(_update: object) -> None:
    """Ignore updates."""


def _update_offered(
    local: LocalState, exchange: LoadExchange, now: float
) -> None:
    local.offered = exchange.local_report(now)
    local.domain_offered = exchange.domain_report(now)
    local.remote_offered = exchange.take_unforwarded()


def _receive_offered(
    exchange: LoadExchange, message: Heartbeat | Summary, now: float
) -> None:
    exchange.receive(
        message.sender,
        message.failure_domain,
        message.offered,
        now,
        is_summary=isinstance(message, Summary),
    )
