"""Divide organisations' limits over all nodes by recent demand.

A node's share follows its part of the demand that all nodes publish. It is
lowered at once, but raised only after every other node has had time to lower
its own, or by what a node that stops in order leaves, so that the shares of nodes that hear each other add up to one at
most. The demand of a node that died is kept for a while, so that a node that
is cut off goes on with about the share that it had.
"""

import time
from collections import Counter
from collections.abc import Callable, Iterable, Mapping

import attrs

RAISE_SECONDS = 3.0
KEEP_SECONDS = 60.0
_HOLD_SECONDS = 3.0
# What a node without demand weighs, so that it can begin at once.
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
class Shares:
    """This node's share of each organisation's limits."""

    _clock: Callable[[], float] = time.monotonic
    _peaks: dict[str, tuple[int, float]] = attrs.field(
        factory=dict,
        init=False,
    )
    _wanted: Counter[str] = attrs.field(factory=Counter, init=False)
    _heard: dict[str, _Heard] = attrs.field(factory=dict, init=False)
    _shares: dict[str, float] = attrs.field(factory=dict, init=False)
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
        return {name: peak for name, (peak, _at) in self._peaks.items()}

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
        gone = self._heard.get(source)
        if gone is None:
            return
        for name, share in self._shares.items():
            weight = self._own_weight(name) + self._weight_of_others(name)
            left = weight - _weight(gone, name)
            self._shares[name] = min(1, share * weight / left)
        self._heard.pop(source)

    def heard(self, sources: Iterable[str]) -> Counter[str]:
        """Return the demand of some sources together."""
        together: Counter[str] = Counter()
        for source in self._heard.keys() & set(sources):
            together.update(self._heard[source].demand)
        return together

    def share(self, organisation: str) -> float:
        """Return this node's part of an organisation's limits, up to one."""
        now = self._clock()
        target = self._target(organisation, now)
        nodes = 1 + sum(heard.nodes for heard in self._heard.values())
        current = self._shares.setdefault(organisation, 1 / nodes)
        if target <= current:
            self._shares[organisation] = target
            self._raises.pop(organisation, None)
            return target
        waiting = self._raises.setdefault(organisation, _Raise(now, target))
        waiting.share = min(waiting.share, target)
        if now - waiting.since >= RAISE_SECONDS:
            self._shares[organisation] = waiting.share
            self._raises.pop(organisation)
        return self._shares[organisation]

    def _target(self, organisation: str, now: float) -> float:
        self._heard = {
            source: heard
            for source, heard in self._heard.items()
            if now - heard.at < KEEP_SECONDS
        }
        own = self._own_weight(organisation)
        return own / (own + self._weight_of_others(organisation))

    def _own_weight(self, organisation: str) -> int:
        return self.demand().get(organisation, 0) + _IDLE_WEIGHT

    def _weight_of_others(self, organisation: str) -> int:
        return sum(_weight(one, organisation) for one in self._heard.values())


def _weight(heard: _Heard, organisation: str) -> int:
    return heard.demand.get(organisation, 0) + heard.nodes * _IDLE_WEIGHT
