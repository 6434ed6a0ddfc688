"""What a node knows of which others reach the targets of a service; no I/O.

Learned from the answers of peers and from the requests that they pass on here, so
that nothing is announced while all is well. Refusals name peers that serve: what
one node has learned need not be learned again by each, at the price of a request.
"""

import random
from collections.abc import Callable, Mapping

import attrs

from cranecart.clocks import since_boot

# How long a peer that has served counts as able, unless it refuses. Nodes lose
# their paths for some seconds.
_ABLE_SECONDS = 5.0
# How long a peer that reaches no targets itself is not asked again.
UNABLE_SECONDS = 1.0
# A peer that refuses again is asked after a longer time, up to this one.
_MAX_UNABLE_SECONDS = 4.0
_PAUSE_GROWTH = 2.0
_FORGET_INTERVAL_SECONDS = 1.0
# Peers that a refusal names.
_MAX_NAMED = 8


@attrs.frozen
class _Refusal:
    """A peer that handles no requests until a time, as of when it said so."""

    at: float
    until: float
    pause: float


# The name of a peer and a service, which is empty for all services.
_Key = tuple[str, str]


@attrs.define
class PeerKnowledge:
    """Which peers serve, and which have refused or are cut off themselves."""

    _clock: Callable[[], float] = since_boot
    _random: random.Random = attrs.field(factory=random.Random)
    _refusals: dict[_Key, _Refusal] = attrs.field(factory=dict, init=False)
    # When each peer is known to have served last.
    _served_at: dict[_Key, float] = attrs.field(factory=dict, init=False)
    _forget_at: float = attrs.field(default=float('-inf'), init=False, eq=False)

    def unable_peers(self, service: str) -> set[str]:
        """Return the peers that are not to be asked now."""
        now = self._clock()
        return {
            name
            for (name, refused_service), refusal in self._refusals.items()
            if refusal.until > now and refused_service in {'', service}
        }

    def able_peers(self, service: str) -> set[str]:
        """Return the peers that have served lately."""
        now = self._clock()
        return {
            name
            for (name, served_service), served_at in self._served_at.items()
            if served_service == service and now - served_at < _ABLE_SECONDS
        }

    def record_served(self, name: str, service: str) -> None:
        """Record that a peer has passed on a target's response."""
        self._served_at[name, service] = self._clock()
        self._refusals.pop((name, service), None)

    def record_unable(self, name: str, seconds: float, service: str) -> None:
        """Record that a peer reaches no targets of a service, or of any."""
        now = self._clock()
        previous = self._refusals.get((name, service))
        pause = seconds
        if previous and now < previous.until + _MAX_UNABLE_SECONDS:
            pause = min(
                _PAUSE_GROWTH * max(previous.pause, seconds),
                max(seconds, _MAX_UNABLE_SECONDS),
            )
        self._refusals[name, service] = _Refusal(now, now + pause, pause)
        self._served_at.pop((name, service), None)

    def record_busy(self, name: str, seconds: float) -> None:
        """Record that a peer has no room for a while, though it may serve."""
        now = self._clock()
        self._refusals[name, ''] = _Refusal(now, now + seconds, seconds)

    def record_asking(self, name: str, service: str) -> None:
        """Record that a peer passes requests on, as it reaches no targets."""
        refusal = self._refusals.get((name, service))
        if refusal is None or refusal.until <= self._clock():
            self.record_unable(name, UNABLE_SECONDS, service)

    def named_peers(self, service: str) -> dict[str, float]:
        """Return some peers that serve, and for how long nothing was heard."""
        now = self._clock()
        able = sorted(self.able_peers(service) - self.unable_peers(service))
        return {
            name: now - self._served_at[name, service]
            for name in self._random.sample(able, min(len(able), _MAX_NAMED))
        }

    def learn(self, service: str, named: Mapping[str, float]) -> None:
        """Take over what another node knows, unless this one knows better."""
        now = self._clock()
        for name, age in named.items():
            served_at = now - max(0, age)
            refusal = self._refusals.get((name, service))
            if refusal is not None and refusal.at >= served_at:
                continue
            self._refusals.pop((name, service), None)
            known_at = self._served_at.get((name, service), float('-inf'))
            self._served_at[name, service] = max(known_at, served_at)

    def seconds_until_able(self, default: float) -> float:
        """Return when the first of the unable peers is asked again."""
        now = self._clock()
        return min(
            (
                refusal.until - now
                for refusal in self._refusals.values()
                if refusal.until > now
            ),
            default=default,
        )

    def forget_expired(self) -> None:
        """Discard what no longer counts, now and then."""
        now = self._clock()
        if now < self._forget_at:
            return
        self._forget_at = now + _FORGET_INTERVAL_SECONDS
        self._refusals = {
            key: refusal
            for key, refusal in self._refusals.items()
            if refusal.until + _MAX_UNABLE_SECONDS > now
        }
        self._served_at = {
            key: served_at
            for key, served_at in self._served_at.items()
            if now - served_at < _ABLE_SECONDS
        }
