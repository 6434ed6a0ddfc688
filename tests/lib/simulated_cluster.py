"""Many nodes of a mesh without sockets, on a clock that tests turn."""

import contextlib
import random
from collections import Counter
from collections.abc import Iterable

import attrs

from cranecart.mesh import (
    LocalState,
    Mesh,
    MeshCallbacks,
    MeshMessage,
    PeerNode,
    Stopped,
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

BEAT_SECONDS = 0.25
_DOMAINS = 3
# What answers itself for ever is found out, and does not hang a test.
_MOST_AT_ONCE = 20000


class SimulatedTransport(PeerTransport[MeshMessage]):
    """A link that hands messages to a world instead of sockets."""

    def __init__(self, cluster: 'SimulatedCluster', name: str) -> None:  # noqa: WPS612
        """Remember whose link it is."""
        self._world = cluster
        self._name = name

    def send_all(
        self,
        addresses: Iterable[str],
        message: MeshMessage,
    ) -> None:
        """Hand a message over, as it looks on the wire."""
        encoded = encode_mesh_message(message)
        for address in addresses:
            self._world.carry(self._name, address, encoded)

    def disconnect(self, address: str) -> None:
        """Do nothing, as there is no socket."""

    def close_idle(self, seconds: float) -> None:
        """Do nothing, as there is no socket."""


@attrs.define
class SimulatedCluster:
    """Nodes by name, the messages under way, and what fails."""

    now: float = 100
    nodes: dict[str, 'SimulatedNode'] = attrs.field(factory=dict, init=False)
    sent: Counter[str] = attrs.field(factory=Counter, init=False)
    sent_bytes: Counter[str] = attrs.field(factory=Counter, init=False)
    far_bytes: int = attrs.field(default=0, init=False)
    dead: set[str] = attrs.field(factory=set, init=False)
    # Nodes of different groups do not reach each other.
    groups: dict[str, int] = attrs.field(factory=dict, init=False)
    # Senders and receivers between whom alone nothing passes.
    lost_paths: set[tuple[str, str]] = attrs.field(factory=set, init=False)
    loses_stopped: bool = attrs.field(default=False, init=False)
    _wire: list[tuple[str, str, bytes]] = attrs.field(factory=list, init=False)
    _random: random.Random = attrs.field(
        factory=lambda: random.Random(1),
        init=False,
    )

    @classmethod
    def of(cls, count: int) -> 'SimulatedCluster':
        """Start so many nodes, each knowing all from the table."""
        cluster = cls()
        for number in range(count):
            cluster.start(f'node-{number:03}')
        return cluster

    @property
    def alive(self) -> list['SimulatedNode']:
        """Return the nodes that are not dead."""
        return [
            node for name, node in self.nodes.items() if name not in self.dead
        ]

    def start(self, name: str) -> None:
        """Start a node, anew if there is one of that name."""
        self.dead.discard(name)
        self.nodes[name] = SimulatedNode.in_cluster(self, name)
        rows = {
            one: PeerNode(node.state.local.address, node.domain)
            for one, node in self.nodes.items()
        }
        for node in self.alive:
            node.mesh.update_peers(rows, True)

    def carry(self, sender: str, address: str, encoded: bytes) -> None:
        """Take a message on its way."""
        self._wire.append((sender, address, encoded))
        self.sent[sender] += 1
        self.sent_bytes[sender] += len(encoded)
        if self.nodes[address].domain != self.nodes[sender].domain:
            self.far_bytes += len(encoded)

    def run(self, seconds: float) -> None:
        """Let the time go on, beat by beat."""
        for turn in range(round(seconds / BEAT_SECONDS)):
            for node in self.alive:
                self.now += BEAT_SECONDS / len(self.alive)
                node.message_sender.send_beat(include_silent=turn % 8 == 0)
                node.message_sender.request_newer_config()
                self.deliver()

    def deliver(self) -> None:
        """Deliver what is under way to those who can be reached."""
        for _number in range(_MOST_AT_ONCE):
            if not self._wire:
                return
            sender, address, encoded = self._wire.pop(0)
            if address not in self.dead and self._is_open(sender, address):
                self.nodes[address].hear(encoded)
        raise AssertionError('the messages do not end')

    def stop_replica(self, sender: str, name: str) -> None:
        """Have a node tell all that a replica has stopped."""
        node = self.nodes[sender]
        node.stopped.add(name)
        node.mesh.publish_stopped(Stopped(sender, name, 1, 'lost'))
        self.deliver()

    def _is_open(self, sender: str, address: str) -> bool:
        if (sender, address) in self.lost_paths:
            return False
        return self.groups.get(sender) == self.groups.get(address)


@attrs.define
class SimulatedNode:
    """One node: its mesh, and what it was told."""

    mesh: Mesh
    state: MeshState
    message_sender: MessageSender
    message_handler: MessageHandler
    in_flight: Counter[str]
    stopped: set[str]
    versions: list[int]
    configs: list[RouteConfig]
    book: CaseRegistry
    broken: set[str]
    limits: list[LimitUpdate]
    leaving: set[str]
    cluster: SimulatedCluster

    @classmethod
    def in_cluster(
        cls, cluster: SimulatedCluster, name: str
    ) -> 'SimulatedNode':
        """Build a node of the failure domain that its number says."""
        domain = f'domain-{int(name.rpartition("-")[2]) % _DOMAINS}'
        in_flight: Counter[str] = Counter()
        stopped: set[str] = set()
        versions: list[int] = []
        configs: list[RouteConfig] = []
        book = CaseRegistry(lambda: cluster.now)
        broken: set[str] = set()
        limits: list[LimitUpdate] = []
        leaving: set[str] = set()
        events = MeshCallbacks(
            lambda message: stopped.add(message.replica),
            _no_suspect,
            lambda message: any(
                [book.merge(one, is_own=False) for one in message.cases],
            ),
            lambda news: versions.append(news.version),
            _ignore,
            lambda: in_flight,
            lambda: configs[-1] if configs else None,
            configs.append,
            lambda: None,
            lambda message: broken.add(message.instance),
            lambda message: limits.extend(message.limits),
            lambda message: leaving.add(message.instance),
        )
        transport = SimulatedTransport(cluster, name)
        local = LocalState(name, name, domain)
        mesh = Mesh(local, transport, events, lambda: cluster.now)
        return cls(
            mesh,
            mesh.state,
            mesh.message_sender,
            mesh.message_handler,
            in_flight,
            stopped,
            versions,
            configs,
            book,
            broken,
            limits,
            leaving,
            cluster,
        )

    @property
    def domain(self) -> str:
        """Return the node's failure domain."""
        return self.state.local.failure_domain

    def hear(self, encoded: bytes) -> None:
        """Take a message over."""
        message = decode_mesh_message(encoded)
        if self.cluster.loses_stopped and isinstance(message, Stopped):
            return
        taking = self.message_handler.handle(message)
        # Nothing that it does here has to be waited for.
        with contextlib.suppress(StopIteration):
            taking.send(None)


async def _no_suspect(_message: object) -> None:
    """Take evidence over, and do nothing."""


def _ignore(_news: object) -> None:
    """Take news over, and do nothing."""
