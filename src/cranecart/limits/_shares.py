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
    received_at: float


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
    _open_calls: Counter[str] = attrs.field(factory=Counter, init=False)
    _remote_demand: dict[str, _Heard] = attrs.field(factory=dict, init=False)
    _shares: dict[str, float] = attrs.field(factory=dict, init=False)
    _limits: dict[str, int] = attrs.field(factory=dict, init=False)
    _raises: dict[str, _Raise] = attrs.field(factory=dict, init=False)

    def call_started(self, organisation: str) -> None:
        """Count a call that came in, admitted or not."""
        self._open_calls[organisation] += 1
        now = self._clock()
        peak, at = self._peaks.get(organisation, (0, now))
        wanted = self._open_calls[organisation]
        if wanted >= peak or now - at > _HOLD_SECONDS:
            self._peaks[organisation] = (wanted, now)

    def call_ended(self, organisation: str) -> None:
        """Count a call that ended or was turned away."""
        self._open_calls[organisation] -= 1

    def demand(self) -> dict[str, int]:
        """Return the most calls at once of each organisation, recently."""
        now = self._clock()
        self._peaks = {
            name: (max(peak, self._open_calls[name]), at)
            for name, (peak, at) in self._peaks.items()
            if now - at <= _HOLD_SECONDS or self._open_calls[name]
        }
        demand = {name: peak for name, (peak, _at) in self._peaks.items()}
        if not self._samples or now - self._samples[-1][0] > _SAMPLED_SECONDS:
            self._samples.append((now, demand))
        while len(self._samples) > 1 and self._is_published(
            self._samples[1], now
        ):
            self._samples.popleft()
        return demand

    def record_demand(
        self, source: str, demand: Demand, nodes: int = 1
    ) -> None:
        """Take over the demand of another node, or of a failure domain."""
        self._remote_demand[source] = _Heard(demand, nodes, self._clock())

    def add_sources(self, sources: Iterable[str]) -> None:
        """Count nodes that are known but have told no demand yet."""
        for source in sources:
            if source not in self._remote_demand:
                self.record_demand(source, {})

    def remove_source(self, source: str) -> None:
        """Drop a node's demand, as it stopped in order.

        It admits nothing more and its clients come to the others, so what it
        leaves is taken at once; nobody has to lower a share for that.
        """
        if source not in self._remote_demand:
            return
        before = {name: self._target_share(name) for name in self._shares}
        self._remote_demand.pop(source)
        for name, target in before.items():
            left = self._target_share(name) - target
            self._shares[name] = min(1, self._shares[name] + left)

    def total_demand(self, sources: Iterable[str]) -> Counter[str]:
        """Return the demand of some sources together."""
        together: Counter[str] = Counter()
        for source in self._remote_demand.keys() & set(sources):
            together.update(self._remote_demand[source].demand)
        return together

    def share(self, organisation: str, limit: int = 0) -> float:
        """Return this node's part of an organisation's limits, up to one.

        ``limit`` is how many calls it may have in progress on all nodes.
        """
        now = self._clock()
        if limit:
            self._limits[organisation] = limit
        self._prune(now)
        target = self._target_share(organisation)
        nodes = 1 + sum(heard.nodes for heard in self._remote_demand.values())
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

    def _published_demand(self) -> Demand:
        """Return the own demand as the other nodes know it by now."""
        now = self._clock()
        self.demand()
        first = self._samples[0]
        return first[1] if self._is_published(first, now) else {}

    def _is_published(self, sample: tuple[float, Demand], now: float) -> bool:
        return now - sample[0] > _KNOWN_SECONDS

    def _prune(self, now: float) -> None:
        self._remote_demand = {
            source: heard
            for source, heard in self._remote_demand.items()
            if now - heard.received_at < DEMAND_RETENTION_SECONDS
        }

    def _target_share(self, organisation: str) -> float:
        own = self._published_demand().get(organisation, 0)
        heard = self._remote_demand.values()
        total = own + sum(one.demand.get(organisation, 0) for one in heard)
        nodes = 1 + sum(one.nodes for one in heard)
        free = self._limits.get(organisation, 0) - total
        spread = max(free, nodes * _IDLE_WEIGHT)
        return (own + spread / nodes) / (total + spread)
