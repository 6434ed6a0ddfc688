"""The known peers, the choice of relays, and the addresses to send to."""

from collections.abc import Callable, Iterator

import attrs

from cranecart.clocks import since_boot
from cranecart.mesh._messages import Digest
from cranecart.mesh._peer_state import PeerState
from cranecart.mesh._stopping_nodes import StoppingNodes
from cranecart.ports import Bandwidth

# Up to this size all nodes send to each other directly: sixty messages a second
# cost a node about a hundredth of a core.
_FULL_MESH_MAX_NODES = 16
# One relay is active; the next receives the same heartbeats and is its standby.
_RELAYS_PER_DOMAIN = 2
# Two digests may be lost before the standby relay takes over.
_RELAY_TIMEOUT_SECONDS = 0.6
# A peer that was just added counts as live until it had time to send a heartbeat.
_NEW_PEER_GRACE_SECONDS = 2.0


# When a relay sent its last digest, and the nodes that it covered.
RelayCoverage = tuple[float, frozenset[str]]


@attrs.frozen
class PeerNode:
    """Another node, as its row in the store describes it.

    ``request_address`` is where it takes over requests of other nodes, empty if
    it does not or if only its heartbeats are known. ``link_mbps`` is the
    bandwidth of its link in Mbit/s, 0 if it is not known.
    """

    address: str
    failure_domain: str
    request_address: str = ''
    link_mbps: Bandwidth = 0


@attrs.define
class Roster:
    """The known peers by name, and which nodes act as relays.

    The live node with the largest link in a failure domain is its relay, and of
    those with equal links the one with the first name, so no election is
    needed. A relay sends to all nodes of its failure domain, which would
    saturate a small link. Where nodes disagree on which are live, several
    relays may be active at once.
    """

    _node_id: str
    _failure_domain: str
    _peer_state: PeerState
    _clock: Callable[[], float] = since_boot
    _link_mbps: float = 0
    peers: dict[str, PeerNode] = attrs.field(factory=dict, init=False)
    stopping: StoppingNodes = attrs.field(
        default=attrs.Factory(
            lambda roster: StoppingNodes(roster._clock), takes_self=True
        ),
        init=False,
    )
    _added_at: dict[str, float] = attrs.field(factory=dict, init=False)
    _relay_coverage: dict[str, RelayCoverage] = attrs.field(
        factory=dict,
        init=False,
    )
    _uses_relays: bool = attrs.field(default=False, init=False)

    @property
    def uses_relays(self) -> bool:
        """Return whether the deployment is large enough to need relays.

        Once one node decides so, all nodes follow, since otherwise they would
        miss the heartbeats of nodes that send only to relays. The decision lasts
        until all of these nodes have stopped.
        """
        if len(self.peers) >= _FULL_MESH_MAX_NODES:
            self._uses_relays = True
        return self._uses_relays

    def enable_relays(self) -> None:
        """Switch to relays because another node has."""
        self._uses_relays = True

    def add(self, name: str, peer: PeerNode) -> None:
        """Add or update a peer that the store lists or that sent a heartbeat."""
        known = self.peers.get(name)
        if known is not None and not peer.request_address:
            # Heartbeats show neither.
            peer = attrs.evolve(
                peer,
                request_address=known.request_address,
                link_mbps=peer.link_mbps or known.link_mbps,
            )
        self.peers[name] = peer
        self._added_at.setdefault(name, self._clock())

    def remove(self, name: str) -> PeerNode | None:
        """Remove a peer; return it, or None if it was not known."""
        self._added_at.pop(name, None)
        self.remove_relay(name)
        return self.peers.pop(name, None)

    def record_relay_coverage(self, digest: Digest) -> None:
        """Record which nodes a relay of the local failure domain covers."""
        relay = digest.summary.sender
        self._relay_coverage[relay] = (
            self._clock(),
            frozenset(digest.summarized_nodes),
        )

    def remove_relay(self, name: str) -> None:
        """Discard the coverage of a node that is no longer a relay."""
        self._relay_coverage.pop(name, None)

    def is_live(self, name: str) -> bool:
        """Return whether a known peer is live."""
        if self._peer_state.was_seen_recently(name):
            return True
        # Once the node has sent a heartbeat, only heartbeats and digests show that it is
        # live; a recent addition does not.
        is_recently_added = (
            self._clock() - self._added_at[name] < _NEW_PEER_GRACE_SECONDS
        )
        return is_recently_added and not self._peer_state.has_sent_heartbeat(
            name
        )

    def live_count(self) -> int:
        """Return the number of live peers, including those just added."""
        return sum(map(self.is_live, self.peers))

    def relays(self) -> list[str]:
        """Return the relay and its standby in the local failure domain."""
        live = [name for name in self._domain_peers() if self.is_live(name)]
        return sorted((*live, self._node_id), key=self.rank)[
            :_RELAYS_PER_DOMAIN
        ]

    def rank(self, name: str) -> tuple[float, str]:
        """Return the order in which nodes take duties that serve all nodes."""
        if name == self._node_id:
            return -self._link_mbps, name
        peer = self.peers.get(name)
        return 0 if peer is None else -peer.link_mbps, name

    def is_active_relay(self) -> bool:
        """Return whether this node has to act as a relay now.

        It does if no node of an earlier rank does, or if those that do miss a
        node whose heartbeats arrive here.
        """
        covered_nodes = self._nodes_covered_by_others()
        if covered_nodes is None:
            return self._node_id in self.relays()
        return any(
            heartbeat.sender not in covered_nodes
            for heartbeat in self._peer_state.valid_domain_heartbeats()
        )

    def is_isolated(self) -> bool:
        """Return whether this failure domain has peers but none is live."""
        domain_peers = list(self._domain_peers())
        return bool(domain_peers) and not any(map(self.is_live, domain_peers))

    def takeover_rank(self) -> int:
        """Return the rank at which this node takes over a shared task.

        The relay of the failure domain with the first name has rank 0, those of
        the other domains have rank 1, and all other nodes rank 2.
        """
        if self.relays()[0] != self._node_id:
            return 2
        domains = {peer.failure_domain for peer in self.peers.values()}
        return int(
            min({*domains, self._failure_domain}) != self._failure_domain
        )

    def domain_addresses(self, *, include_silent: bool) -> list[str]:
        """Return the addresses of the peers in the local failure domain."""
        addresses = _addresses(
            self, self._domain_peers(), include_silent=include_silent
        )
        stopping = self.stopping.addresses(self._failure_domain)
        return list(dict.fromkeys((*addresses, *stopping)))

    def all_addresses(self, *, include_silent: bool) -> list[str]:
        """Return the addresses of all peers."""
        addresses = _addresses(
            self, iter(self.peers), include_silent=include_silent
        )
        return list(dict.fromkeys((*addresses, *self.stopping.addresses())))

    def live_domain_nodes(self) -> list[str]:
        """Return the live nodes of the local domain, including this one."""
        return [self._node_id, *filter(self.is_live, self._domain_peers())]

    def live_domains(self) -> set[str]:
        """Return the failure domains with any live node."""
        live_peer_domains = {
            peer.failure_domain
            for name, peer in self.peers.items()
            if self.is_live(name)
        }
        return {
            self._failure_domain,
            *live_peer_domains,
            *self._peer_state.summaries(),
        }

    def domain_relay_addresses(self) -> list[str]:
        """Return the addresses of the local failure domain's relays."""
        return [
            self.peers[name].address
            for name in self.relays()
            if name != self._node_id
        ]

    def remote_relay_addresses(self, *, include_silent: bool) -> list[str]:
        """Return the addresses of the relays of other failure domains.

        Where a failure domain's relays are not known, return the addresses of
        its live nodes, and with ``include_silent`` also of its other nodes.
        """
        summaries = self._peer_state.summaries()
        known_relays = {
            address
            for domain, received in summaries.items()
            if domain != self._failure_domain
            for address in received.summary.relays.values()
        }
        peers_without_relay = (
            name
            for name, peer in self.peers.items()
            if peer.failure_domain not in {self._failure_domain, *summaries}
        )
        return [
            *known_relays,
            *_addresses(
                self, peers_without_relay, include_silent=include_silent
            ),
        ]

    def _nodes_covered_by_others(self) -> frozenset[str] | None:
        """Return the nodes covered by active relays of earlier ranks.

        Return None if there is no such relay.
        """
        earliest = self._clock() - _RELAY_TIMEOUT_SECONDS
        covered_sets = [
            names
            for sender, (reported_at, names) in self._relay_coverage.items()
            if reported_at > earliest
            and self.rank(sender) < self.rank(self._node_id)
        ]
        return frozenset().union(*covered_sets) if covered_sets else None

    def _domain_peers(self) -> Iterator[str]:
        return (
            name
            for name, peer in self.peers.items()
            if peer.failure_domain == self._failure_domain
        )


def _addresses(
    roster: Roster, names: Iterator[str], *, include_silent: bool
) -> list[str]:
    return [
        roster.peers[name].address
        for name in names
        if include_silent or roster.is_live(name)
    ]
