"""Who the other nodes are, which of them relay, and whom to tell."""

from collections.abc import Callable, Iterator

import attrs

from cranecart.clocks import since_boot
from cranecart.mesh._messages import Digest
from cranecart.mesh._peer_state import PeerState

# Up to so many nodes tell each other everything directly: sixty messages a
# second cost a node about a hundredth of a core.
_FULL_MESH_NODES = 16
# One relay speaks, the next listens as well and takes over.
_RELAYS = 2
# Two digests may be lost before the next relay speaks.
_SILENT_RELAY_SECONDS = 0.6
# A node that has just been listed counts as alive until it had time to speak.
_NEW_SECONDS = 2.0


# When a relay spoke, and whom it heard.
Covered = tuple[float, frozenset[str]]


@attrs.frozen
class PeerNode:
    """Another node as its row in the table names it."""

    address: str
    failure_domain: str


@attrs.define
class Roster:
    """The nodes that are known, by name, and their ranks as relays.

    The first live name of a failure domain relays, so that nothing has to be
    agreed; where nodes see different ones alive, several relay.
    """

    _name: str
    _domain: str
    _others: PeerState
    _clock: Callable[[], float] = since_boot
    peers: dict[str, PeerNode] = attrs.field(factory=dict, init=False)
    _since: dict[str, float] = attrs.field(factory=dict, init=False)
    _digests: dict[str, Covered] = attrs.field(
        factory=dict,
        init=False,
    )
    _uses_relays: bool = attrs.field(default=False, init=False)

    @property
    def uses_relays(self) -> bool:
        """Tell whether relays are needed.

        Once one node finds so all do, or those that speak to relays only
        would not be heard; it holds until the last of them has stopped.
        """
        if len(self.peers) >= _FULL_MESH_NODES:
            self._uses_relays = True
        return self._uses_relays

    def grow(self) -> None:
        """Take over that another node needs relays."""
        self._uses_relays = True

    def add(self, name: str, peer: PeerNode) -> None:
        """Take over a node that the table names, or that speaks."""
        self.peers[name] = peer
        self._since.setdefault(name, self._clock())

    def remove(self, name: str) -> PeerNode | None:
        """Forget a node; return what was known of it."""
        self._since.pop(name, None)
        self.stop_relaying(name)
        return self.peers.pop(name, None)

    def note_digest(self, digest: Digest) -> None:
        """Take over whom a relay of the own failure domain hears."""
        relay = digest.summary.sender
        self._digests[relay] = (
            self._clock(),
            frozenset(digest.summarized_nodes),
        )

    def stop_relaying(self, name: str) -> None:
        """Take over that a node relays no more."""
        self._digests.pop(name, None)

    def live_count(self) -> int:
        """Return how many nodes are heard beside this one, or just listed."""
        return sum(map(self._is_live, self.peers))

    def relays(self) -> list[str]:
        """Return the first live names of the own failure domain."""
        live = [name for name in self._own_peers() if self._is_live(name)]
        return sorted((*live, self._name))[:_RELAYS]

    def is_speaking(self) -> bool:
        """Tell whether this node has to relay now.

        It does where no earlier name does, or where one does not hear a node
        that speaks to this one.
        """
        covered = self._covered()
        if covered is None:
            return self._name in self.relays()
        return any(beat.sender not in covered for beat in self._others.beside())

    def is_isolated(self) -> bool:
        """Tell whether none of the nodes beside this one is heard."""
        beside = list(self._own_peers())
        return bool(beside) and not any(map(self._is_live, beside))

    def takeover_rank(self) -> int:
        """Return when this node is to take over what one does for all.

        The first live node of the first failure domain does so at once, then
        those of the others, then everybody.
        """
        if self.relays()[0] != self._name:
            return 2
        domains = {peer.failure_domain for peer in self.peers.values()}
        return int(min({*domains, self._domain}) != self._domain)

    def beside(self, *, include_silent: bool) -> list[str]:
        """Return the addresses of the own failure domain's other nodes."""
        return self._addresses(self._own_peers(), include_silent=include_silent)

    def everyone(self, *, include_silent: bool) -> list[str]:
        """Return the addresses of all other nodes."""
        return self._addresses(iter(self.peers), include_silent=include_silent)

    def live_beside(self) -> list[str]:
        """Return the own failure domain's live nodes, this one included."""
        return [self._name, *filter(self._is_live, self._own_peers())]

    def live_domains(self) -> set[str]:
        """Return the failure domains of which any node is heard."""
        heard = {
            peer.failure_domain
            for name, peer in self.peers.items()
            if self._is_live(name)
        }
        return {self._domain, *heard, *self._others.summaries()}

    def next_relays(self) -> list[str]:
        """Return the addresses of the own failure domain's relays."""
        return [
            self.peers[name].address
            for name in self.relays()
            if name != self._name
        ]

    def far_relays(self, *, include_silent: bool) -> list[str]:
        """Return the addresses of those who take in news elsewhere.

        Where they are not known, all nodes of that failure domain are tried:
        often those just listed, now and then the others.
        """
        summaries = self._others.summaries()
        known = {
            address
            for domain, one in summaries.items()
            if domain != self._domain
            for address in one.summary.relays.values()
        }
        unknown = (
            name
            for name, peer in self.peers.items()
            if peer.failure_domain not in {self._domain, *summaries}
        )
        return [
            *known,
            *self._addresses(unknown, include_silent=include_silent),
        ]

    def _covered(self) -> frozenset[str] | None:
        """Return whom earlier names hear that relay now, if any does."""
        oldest = self._clock() - _SILENT_RELAY_SECONDS
        heard = [
            names
            for sender, (at, names) in self._digests.items()
            if sender < self._name and at > oldest
        ]
        return frozenset().union(*heard) if heard else None

    def _own_peers(self) -> Iterator[str]:
        return (
            name
            for name, peer in self.peers.items()
            if peer.failure_domain == self._domain
        )

    def _addresses(
        self,
        names: Iterator[str],
        *,
        include_silent: bool,
    ) -> list[str]:
        return [
            self.peers[name].address
            for name in names
            if include_silent or self._is_live(name)
        ]

    def _is_live(self, name: str) -> bool:
        if self._others.is_fresh(name):
            return True
        # What relays tell is surer than that a node has been listed.
        is_new = self._clock() - self._since[name] < _NEW_SECONDS
        return is_new and not self._others.has_met(name)
