"""Choose the node through which a request is sent; no I/O.

Answers the load of nodes that reach no targets: with one of many in that state,
with all but one, and with all nodes of a failure domain. What a node can do is
learned from its answers, so that nothing is announced while all is well.
"""

import random
from collections import Counter
from collections.abc import Callable, Collection, Generator, Iterable
from contextlib import contextmanager

import attrs

from cranecart.clocks import since_boot
from cranecart.http import Address

# Peers of a failure domain that reach no targets, before those of others are
# asked first.
_MANY_UNABLE = 2


@attrs.frozen
class Peer:
    """Another node, and where it accepts requests of nodes."""

    name: str
    address: Address
    failure_domain: str


@attrs.frozen
class _Unable:
    """Until when a peer handles no requests, of one service or at all."""

    failure_domain: str
    until: float


@attrs.define
class PeerChoice:
    """Chooses near peers first, and among them the one with fewest requests.

    ``_live_peers`` returns the other nodes that are alive.
    """

    _failure_domain: str
    _live_peers: Callable[[], Iterable[Peer]]
    _random: random.Random
    _clock: Callable[[], float] = since_boot
    _in_flight: Counter[str] = attrs.field(factory=Counter, init=False)
    # By the peer's name and the service, which is empty for all services.
    _unable: dict[tuple[str, str], _Unable] = attrs.field(
        factory=dict, init=False
    )

    def choose(
        self, service: str, excluded: Collection[str] = ()
    ) -> Peer | None:
        """Return a peer that may send requests to a service, if there is one."""
        self._forget_expired()
        unable = {
            name: entry.failure_domain
            for (name, unable_service), entry in self._unable.items()
            if unable_service in {'', service}
        }
        candidates = [
            peer
            for peer in self._live_peers()
            if peer.name not in excluded and peer.name not in unable
        ]
        if not candidates:
            return None
        unable_counts = Counter(unable.values())
        return min(
            candidates,
            key=lambda peer: (
                unable_counts[peer.failure_domain] >= _MANY_UNABLE,
                peer.failure_domain != self._failure_domain,
                self._in_flight[peer.name],
                self._random.random(),
            ),
        )

    def seconds_until_able(self, default: float) -> float:
        """Return when the first of the unable peers is asked again."""
        now = self._clock()
        return min(
            (max(0, unable.until - now) for unable in self._unable.values()),
            default=default,
        )

    def record_unable(
        self, peer: Peer, seconds: float, service: str = ''
    ) -> None:
        """Record that a peer handles no requests for some seconds.

        With a ``service``, it handles those to other services.
        """
        self._unable[peer.name, service] = _Unable(
            peer.failure_domain, self._clock() + seconds
        )

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

    def _forget_expired(self) -> None:
        now = self._clock()
        self._unable = {
            key: unable
            for key, unable in self._unable.items()
            if unable.until > now
        }
