"""Choose the node through which a request is sent; no I/O.

Answers the load of nodes that reach no targets: with one of many in that state,
with all but one, and with all nodes of a failure domain.
"""

import random
from collections import Counter
from collections.abc import Callable, Collection, Generator, Iterable
from contextlib import contextmanager

import attrs

from cranecart.clocks import since_boot
from cranecart.http import Address
from cranecart.peer_calls._knowledge import PeerKnowledge

# Peers of a failure domain that reach no targets, before those of others are
# asked first.
_MANY_UNABLE = 2
# How many peers of which nothing is known are asked in vain, by request, while
# others are known to serve.
_EXPLORED_PER_REQUEST = 0.05
_MAX_EXPLORED = 1.0


@attrs.frozen
class Peer:
    """Another node, and where it accepts requests of nodes."""

    name: str
    address: Address
    failure_domain: str


@attrs.define
class PeerChoice:
    """Chooses near peers first, and among them the one with fewest requests.

    ``_live_peers`` returns the other nodes that are alive. Peers of which nothing
    is known take part as long as they seldom refuse; then only those that are
    known to serve are asked, if there are any.
    """

    _failure_domain: str
    _live_peers: Callable[[], Iterable[Peer]]
    _random: random.Random
    _clock: Callable[[], float] = since_boot
    knowledge: PeerKnowledge = attrs.field(
        default=attrs.Factory(
            lambda choice: PeerKnowledge(choice._clock, choice._random),
            takes_self=True,
        ),
        init=False,
    )
    _in_flight: Counter[str] = attrs.field(factory=Counter, init=False)
    # Peers that may be asked though nothing is known of them.
    _left_to_explore: float = attrs.field(default=_MAX_EXPLORED, init=False)

    def choose(
        self, service: str, excluded: Collection[str] = ()
    ) -> Peer | None:
        """Return a peer that may send requests to a service, if there is one."""
        self.knowledge.forget_expired()
        unable = self.knowledge.unable_peers(service)
        able = self.knowledge.able_peers(service) - unable
        peers = list(self._live_peers())
        unable_counts = Counter(
            peer.failure_domain for peer in peers if peer.name in unable
        )
        left_out = unable.union(excluded)
        candidates = [peer for peer in peers if peer.name not in left_out]
        serving = [peer for peer in candidates if peer.name in able]
        if serving and self._left_to_explore < 1:
            candidates = serving
        return min(
            candidates,
            key=lambda peer: (
                unable_counts[peer.failure_domain] >= _MANY_UNABLE,
                peer.failure_domain != self._failure_domain,
                self._in_flight[peer.name],
                peer.name not in able,
                self._random.random(),
            ),
            default=None,
        )

    def record_served(self, peer: Peer, service: str) -> None:
        """Record that a peer has passed on a target's response."""
        self.knowledge.record_served(peer.name, service)
        self._left_to_explore = min(
            _MAX_EXPLORED, self._left_to_explore + _EXPLORED_PER_REQUEST
        )

    def record_unable(
        self, peer: Peer, seconds: float, service: str = ''
    ) -> None:
        """Record that a peer handles no requests for some seconds.

        With a ``service``, it handles those to other services.
        """
        self._left_to_explore -= 1
        self.knowledge.record_unable(peer.name, seconds, service)

    def record_busy(self, peer: Peer, seconds: float) -> None:
        """Record that a peer handles no requests for lack of room."""
        self.knowledge.record_busy(peer.name, seconds)

    def seconds_until_able(self, default: float) -> float:
        """Return when the first of the unable peers is asked again."""
        return self.knowledge.seconds_until_able(default)

    def has_live_peers(self) -> bool:
        """Return whether any other node is alive."""
        return any(True for _peer in self._live_peers())

    def is_live(self, peer: Peer) -> bool:
        """Return whether a peer is still alive."""
        return any(other.name == peer.name for other in self._live_peers())

    @contextmanager
    def track_in_flight(self, peer: Peer) -> Generator[None, None, None]:
        """Count a request at a peer while the context lasts."""
        self._in_flight[peer.name] += 1
        try:
            yield
        finally:
            self._in_flight[peer.name] -= 1
