"""Keep every node informed by every other, without the platform.

Each node sends a small beat to all others. At the sizes of today that is a
full mesh of at most a few dozen messages a second; docs/CAPACITY.md says
when a failure domain needs relays instead.
"""

import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator, Mapping

import attrs
import curio

from cranecart.fleet import News
from cranecart.logs import decision
from cranecart.mesh._messages import (
    Beat,
    ConfigAsk,
    ConfigGive,
    ListNews,
    MeshMessage,
    RecordNews,
    Stopped,
    Suspect,
)
from cranecart.models import RouteConfig
from cranecart.nodes import NodeLink
from cranecart.ports import ListedInstance, Row

# Counts of work in flight are as old as this at most; streams last about a
# second on the deployments' sheets.
_BEAT_SECONDS = 0.25
# Two beats may be lost before a node's figures are held to be old.
_FRESH_SECONDS = 0.8
# How long the store may be ahead of a node before it asks another node.
_CONFIG_LAG_SECONDS = 0.3
# Silent nodes are tried at every so many beats only.
_SILENT_TURNS = 8
_SILENT_SECONDS = 5.0


@attrs.frozen
class PeerNode:
    """Another node as its row in the table names it."""

    address: str
    failure_domain: str


@attrs.define
class OwnState:
    """What this node tells of itself with each beat."""

    node_id: str
    address: str
    failure_domain: str
    requests: int = 0
    places: str = ''
    stopping: bool = False
    announced: dict[str, int] = attrs.field(factory=dict)
    demand: dict[str, float] = attrs.field(factory=dict)


@attrs.frozen
class MeshEvents:
    """Whom to tell what other nodes say."""

    stopped: Callable[[Stopped], object]
    suspect: Callable[[Suspect], Awaitable[None]]
    list_news: Callable[[News[ListedInstance]], None]
    record_news: Callable[[News[Row]], None]
    in_flight: Callable[[], Mapping[str, int]]
    read_config: Callable[[], RouteConfig | None]
    take_config: Callable[[RouteConfig], None]


@attrs.define
class _Heard:
    beat: Beat
    at: float


@attrs.define
class Mesh:
    """The other nodes, what they told last, and ways to tell them."""

    own: OwnState
    _link: NodeLink[MeshMessage]
    _events: MeshEvents
    _clock: Callable[[], float] = time.monotonic
    _peers: dict[str, PeerNode] = attrs.field(factory=dict, init=False)
    _heard: dict[str, _Heard] = attrs.field(factory=dict, init=False)
    _behind_since: float | None = attrs.field(default=None, init=False)

    async def run(self) -> None:
        """Hear and tell until cancelled."""
        hearing = await curio.spawn(self._hear, daemon=True)
        try:
            await self._tell()
        finally:
            await hearing.cancel()

    def close(self) -> None:
        """Close the sockets."""
        self._link.close()

    def take_peers(
        self,
        items: Mapping[str, PeerNode | None],
        is_whole: bool,
    ) -> None:
        """Take over the nodes that the table names."""
        if is_whole:
            self._peers = {}
        for name, peer in items.items():
            if peer is None:
                self._forget(name)
            elif name != self.own.node_id:
                self._peers[name] = peer

    def broadcast(self, message: MeshMessage) -> None:
        """Tell all nodes at once."""
        for peer in self._peers.values():
            self._link.send(peer.address, message)

    def in_flight_elsewhere(self, instance_id: str) -> int:
        """Return the requests that other nodes have at an instance."""
        return sum(
            beat.in_flight.get(instance_id, 0) for beat in self._fresh_beats()
        )

    def hears_placer(self, failure_domain: str) -> bool:
        """Tell whether another node says that it places there."""
        return any(
            beat.places == failure_domain for beat in self._fresh_beats()
        )

    def announced(self, source: str) -> int | None:
        """Return the last change of a source that another node reads.

        Return nothing where nobody reads it for this node: of those that
        read, the one with the first name goes on.
        """
        own = source in self.own.announced
        versions = [
            beat.announced[source]
            for beat in self._fresh_beats()
            if source in beat.announced
            and (not own or beat.sender < self.own.node_id)
        ]
        return max(versions, default=None)

    def has_traffic(self) -> bool:
        """Tell whether any node has had a request."""
        return self.own.requests > 0 or any(
            heard.beat.requests for heard in self._heard.values()
        )

    def demand(self) -> Counter[str]:
        """Return the work that all nodes' clients want of each model."""
        total = Counter(self.own.demand)
        for beat in self._fresh_beats():
            total.update(beat.demand)
        return total

    def nodes(self) -> int:
        """Return how many nodes are alive, this one included."""
        return 1 + sum(1 for _beat in self._fresh_beats())

    def beat(self) -> Beat:
        """Return what this node tells of itself now."""
        config = self._events.read_config()
        return Beat(
            self.own.node_id,
            self.own.address,
            self.own.failure_domain,
            config.version if config else 0,
            self.own.requests,
            {
                name: count
                for name, count in self._events.in_flight().items()
                if count
            },
            self.own.places,
            self.own.announced,
            self.own.stopping,
            self.own.demand,
        )

    def counts(self) -> dict[str, int]:
        """Return the messages and bytes so far, by name."""
        return self._link.counts()

    async def _tell(self) -> None:
        turn = 0
        while True:
            beat = self.beat()
            for name, peer in list(self._peers.items()):
                if turn % _SILENT_TURNS == 0 or not self._is_silent(name):
                    self._link.send(peer.address, beat)
            self._ask_for_config()
            turn += 1
            await curio.sleep(_BEAT_SECONDS)

    async def _hear(self) -> None:
        while True:
            await self._take(await self._link.receive())

    async def _take(self, message: MeshMessage) -> None:
        match message:
            case Beat():
                self._note(message)
            case Stopped():
                self._events.stopped(message)
            case Suspect():
                await self._events.suspect(message)
            case ListNews():
                self._events.list_news(message.news)
            case RecordNews():
                self._events.record_news(message.news)
            case ConfigAsk():
                self._give_config(message)
            case ConfigGive():
                self._events.take_config(message.config)

    def _note(self, beat: Beat) -> None:
        if beat.sender == self.own.node_id:
            return
        if beat.sender not in self._heard:
            decision('peer_met', peer=beat.sender, address=beat.address)
        self._heard[beat.sender] = _Heard(beat, self._clock())
        self._peers[beat.sender] = PeerNode(beat.address, beat.failure_domain)
        if beat.stopping:
            self._heard.pop(beat.sender)

    def _forget(self, name: str) -> None:
        peer = self._peers.pop(name, None)
        self._heard.pop(name, None)
        if peer is not None:
            self._link.forget(peer.address)

    def _fresh_beats(self) -> Iterator[Beat]:
        oldest = self._clock() - _FRESH_SECONDS
        return (
            heard.beat for heard in self._heard.values() if heard.at >= oldest
        )

    def _is_silent(self, name: str) -> bool:
        heard = self._heard.get(name)
        return heard is None or self._clock() - heard.at > _SILENT_SECONDS

    def _ask_for_config(self) -> None:
        config = self._events.read_config()
        version = config.version if config else 0
        ahead = [
            beat
            for beat in self._fresh_beats()
            if beat.config_version > version
        ]
        if not ahead:
            self._behind_since = None
            return
        now = self._clock()
        if self._behind_since is None:
            self._behind_since = now
        elif now - self._behind_since >= _CONFIG_LAG_SECONDS:
            newest = max(ahead, key=lambda beat: beat.config_version)
            ask = ConfigAsk(self.own.node_id, self.own.address, version)
            self._link.send(newest.address, ask)

    def _give_config(self, ask: ConfigAsk) -> None:
        config = self._events.read_config()
        if config is not None and config.version > ask.version:
            give = ConfigGive(self.own.node_id, config)
            self._link.send(ask.address, give)
