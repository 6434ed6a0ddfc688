"""Divide organisations' limits over all nodes by recent demand.

A node's share is its part of the demand that all nodes publish, and an even
part of what nobody wants. By demand alone a node that had just started got
a sixteenth of a limit, and refused calls while four fifths of it were free.
A share is lowered at once, but raised only after every other node has had time
to lower its own, or by what a node that stops in order leaves, so that the
shares of nodes that hear each other add up to one at most. The demand of a node
that died is kept for a while, so that a node that is cut off goes on with
about the share that it had.
"""

from collections import Counter, deque
from collections.abc import Callable, Iterable, Mapping

import attrs

from cranecart.clocks import since_boot

RAISE_DELAY_SECONDS = 3.0
DEMAND_RETENTION_SECONDS = 60.0
_HOLD_SECONDS = 3.0
# A node's own demand counts for its share once the others know it as well, so
# that all work with the same figures; otherwise shares added up to 1.9 while
# demand moved.
_KNOWN_SECONDS = 1.0
# How far apart the own demands are that are remembered for that.
_SAMPLED_SECONDS = 0.05
# What a node without demand weighs at least, so that it can begin at once.
_IDLE_WEIGHT = 1

Demand = Mapping[str, int]


@attrs.frozen
class _Heard:
    demand: Demand
    nodes: int
    at: float


@attrs.define
class _Raise:
    """A higher share that has to wait; the lowest wanted meanwhile counts."""

    since: float
    share: float


@attrs.define
class LimitShares:
    """This node's share of each organisation's limits."""

    _clock: Callable[[], float] = since_boot
    _peaks: dict[str, tuple[int, float]] = attrs.field(
        factory=dict,
        init=False,
    )
    _samples: deque[tuple[float, Demand]] = attrs.field(
        factory=deque,
        init=False,
    )
    _wanted: Counter[str] = attrs.field(factory=Counter, init=False)
    _heard: dict[str, _Heard] = attrs.field(factory=dict, init=False)
    _shares: dict[str, float] = attrs.field(factory=dict, init=False)
    _limits: dict[str, int] = attrs.field(factory=dict, init=False)
    _raises: dict[str, _Raise] = attrs.field(factory=dict, init=False)

    def want(self, organisation: str) -> None:
        """Count a call that came in, admitted or not."""
        self._wanted[organisation] += 1
        now = self._clock()
        peak, at = self._peaks.get(organisation, (0, now))
        wanted = self._wanted[organisation]
        if wanted >= peak or now - at > _HOLD_SECONDS:
            self._peaks[organisation] = (wanted, now)

    def done(self, organisation: str) -> None:
        """Count a call that ended or was turned away."""
        self._wanted[organisation] -= 1

    def demand(self) -> dict[str, int]:
        """Return the most calls at once of each organisation, recently."""
        now = self._clock()
        self._peaks = {
            name: (max(peak, self._wanted[name]), at)
            for name, (peak, at) in self._peaks.items()
            if now - at <= _HOLD_SECONDS or self._wanted[name]
        }
        demand = {name: peak for name, (peak, _at) in self._peaks.items()}
        if not self._samples or now - self._samples[-1][0] > _SAMPLED_SECONDS:
            self._samples.append((now, demand))
        while len(self._samples) > 1 and self._is_known(self._samples[1], now):
            self._samples.popleft()
        return demand

    def hear(self, source: str, demand: Demand, nodes: int = 1) -> None:
        """Take over the demand of another node, or of a failure domain."""
        self._heard[source] = _Heard(demand, nodes, self._clock())

    def expect(self, sources: Iterable[str]) -> None:
        """Count nodes that are known but have told no demand yet."""
        for source in sources:
            if source not in self._heard:
                self.hear(source, {})

    def forget(self, source: str) -> None:
        """Drop a node's demand, as it stopped in order.

        It admits nothing more and its clients come to the others, so what it
        leaves is taken at once; nobody has to lower a share for that.
        """
        if source not in self._heard:
            return
        before = {name: self._target(name) for name in self._shares}
        self._heard.pop(source)
        for name, target in before.items():
            left = self._target(name) - target
            self._shares[name] = min(1, self._shares[name] + left)

    def heard(self, sources: Iterable[str]) -> Counter[str]:
        """Return the demand of some sources together."""
        together: Counter[str] = Counter()
        for source in self._heard.keys() & set(sources):
            together.update(self._heard[source].demand)
        return together

    def share(self, organisation: str, limit: int = 0) -> float:
        """Return this node's part of an organisation's limits, up to one.

        ``limit`` is how many calls it may have in progress on all nodes.
        """
        now = self._clock()
        if limit:
            self._limits[organisation] = limit
        self._forget_old(now)
        target = self._target(organisation)
        nodes = 1 + sum(heard.nodes for heard in self._heard.values())
        current = self._shares.setdefault(organisation, 1 / nodes)
        if target <= current:
            self._shares[organisation] = target
            self._raises.pop(organisation, None)
            return target
        waiting = self._raises.setdefault(organisation, _Raise(now, target))
        waiting.share = min(waiting.share, target)
        if now - waiting.since >= RAISE_DELAY_SECONDS:
            self._shares[organisation] = waiting.share
            self._raises.pop(organisation)
        return self._shares[organisation]

    def _own_known(self) -> Demand:
        """Return the own demand as the other nodes know it by now."""
        now = self._clock()
        self.demand()
        first = self._samples[0]
        return first[1] if self._is_known(first, now) else {}

    def _is_known(self, sample: tuple[float, Demand], now: float) -> bool:
        return now - sample[0] > _KNOWN_SECONDS

    def _forget_old(self, now: float) -> None:
        self._heard = {
            source: heard
            for source, heard in self._heard.items()
            if now - heard.at < DEMAND_RETENTION_SECONDS
        }

    def _target(self, organisation: str) -> float:
        own = self._own_known().get(organisation, 0)
        heard = self._heard.values()
        total = own + sum(one.demand.get(organisation, 0) for one in heard)
        nodes = 1 + sum(one.nodes for one in heard)
        free = self._limits.get(organisation, 0) - total
        spread = max(free, nodes * _IDLE_WEIGHT)
        return (own + spread / nodes) / (total + spread)
