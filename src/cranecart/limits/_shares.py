"""Divide organisations' limits between nodes by recent demand.

A node's share of a limit is its part of the demand that all nodes publish, plus
an equal part of what is not in demand. When shares followed demand alone, a
node that had just started got a sixteenth of a limit, and refused calls while
four fifths of the limit were free. A share is lowered at once. It is raised
only after all other nodes have had time to lower theirs, or by the part that a
node frees when it shuts down cleanly, so that the shares of nodes that see each
other add up to at most one. The demand of a failed node is kept for a while, so
that a node that is cut off from the others keeps about its share.
"""

from collections import Counter, deque
from collections.abc import Callable, Iterable, Mapping

import attrs

from cranecart.clocks import since_boot

RAISE_DELAY_SECONDS = 3.0
DEMAND_RETENTION_SECONDS = 60.0
_PEAK_SECONDS = 3.0
# A node's own demand counts for its share only once the other nodes have
# received it, so that all compute with the same figures; otherwise the shares
# added up to 1.9 while demand changed.
_PROPAGATION_SECONDS = 1.0
# Minimum time between the kept samples of the node's own demand.
_SAMPLE_INTERVAL_SECONDS = 0.05
# Minimum weight of a node without demand, so that it can admit calls at once.
_IDLE_WEIGHT = 1

Demand = Mapping[str, int]


@attrs.frozen
class _RemoteDemand:
    demand: Demand
    nodes: int
    received_at: float


@attrs.define
class _PendingRaise:
    """A raise that is being delayed; ``share`` is its lowest target so far."""

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
    _remote_demand: dict[str, _RemoteDemand] = attrs.field(
        factory=dict, init=False
    )
    _shares: dict[str, float] = attrs.field(factory=dict, init=False)
    _limits: dict[str, int] = attrs.field(factory=dict, init=False)
    _pending_raises: dict[str, _PendingRaise] = attrs.field(
        factory=dict, init=False
    )

    def call_started(self, organisation: str) -> None:
        """Count an incoming call, admitted or not."""
        self._open_calls[organisation] += 1
        now = self._clock()
        peak, at = self._peaks.get(organisation, (0, now))
        open_calls = self._open_calls[organisation]
        if open_calls >= peak or now - at > _PEAK_SECONDS:
            self._peaks[organisation] = (open_calls, now)

    def call_ended(self, organisation: str) -> None:
        """Stop counting a call that ended or was refused."""
        self._open_calls[organisation] -= 1

    def demand(self) -> dict[str, int]:
        """Return the recent peak of concurrent calls of each organisation."""
        now = self._clock()
        self._peaks = {
            name: (max(peak, self._open_calls[name]), at)
            for name, (peak, at) in self._peaks.items()
            if now - at <= _PEAK_SECONDS or self._open_calls[name]
        }
        demand = {name: peak for name, (peak, _at) in self._peaks.items()}
        if (
            not self._samples
            or now - self._samples[-1][0] > _SAMPLE_INTERVAL_SECONDS
        ):
            self._samples.append((now, demand))
        while len(self._samples) > 1 and self._is_published(
            self._samples[1], now
        ):
            self._samples.popleft()
        return demand

    def record_demand(
        self, source: str, demand: Demand, nodes: int = 1
    ) -> None:
        """Record the demand of another node, or of a failure domain."""
        self._remote_demand[source] = _RemoteDemand(
            demand, nodes, self._clock()
        )

    def add_sources(self, sources: Iterable[str]) -> None:
        """Add nodes that are known but have not published any demand yet."""
        for source in sources:
            if source not in self._remote_demand:
                self.record_demand(source, {})

    def remove_source(self, source: str) -> None:
        """Drop the demand of a node that has shut down cleanly.

        It admits no more calls and its clients move to other nodes, so that
        the others take over its share at once; no node has to lower its own
        for that.
        """
        if source not in self._remote_demand:
            return
        previous = {name: self._target_share(name) for name in self._shares}
        self._remote_demand.pop(source)
        for name, target in previous.items():
            freed = self._target_share(name) - target
            self._shares[name] = min(1, self._shares[name] + freed)

    def total_demand(self, sources: Iterable[str]) -> Counter[str]:
        """Return the total demand of some sources."""
        total: Counter[str] = Counter()
        for source in self._remote_demand.keys() & set(sources):
            total.update(self._remote_demand[source].demand)
        return total

    def share(self, organisation: str, limit: int = 0) -> float:
        """Return this node's share of an organisation's limits, at most one.

        ``limit`` is the organisation's limit of concurrent calls on all nodes.
        """
        now = self._clock()
        if limit:
            self._limits[organisation] = limit
        self._prune(now)
        target = self._target_share(organisation)
        nodes = 1 + sum(remote.nodes for remote in self._remote_demand.values())
        share = self._shares.setdefault(organisation, 1 / nodes)
        if target <= share:
            self._shares[organisation] = target
            self._pending_raises.pop(organisation, None)
            return target
        pending = self._pending_raises.setdefault(
            organisation, _PendingRaise(now, target)
        )
        pending.share = min(pending.share, target)
        if now - pending.since >= RAISE_DELAY_SECONDS:
            self._shares[organisation] = pending.share
            self._pending_raises.pop(organisation)
        return self._shares[organisation]

    def _published_demand(self) -> Demand:
        """Return this node's demand as far as other nodes have received it."""
        now = self._clock()
        self.demand()
        first = self._samples[0]
        return first[1] if self._is_published(first, now) else {}

    def _is_published(self, sample: tuple[float, Demand], now: float) -> bool:
        return now - sample[0] > _PROPAGATION_SECONDS

    def _prune(self, now: float) -> None:
        self._remote_demand = {
            source: remote
            for source, remote in self._remote_demand.items()
            if now - remote.received_at < DEMAND_RETENTION_SECONDS
        }

    def _target_share(self, organisation: str) -> float:
        own = self._published_demand().get(organisation, 0)
        remote = self._remote_demand.values()
        total = own + sum(
            source.demand.get(organisation, 0) for source in remote
        )
        nodes = 1 + sum(source.nodes for source in remote)
        free = self._limits.get(organisation, 0) - total
        unclaimed = max(free, nodes * _IDLE_WEIGHT)
        return (own + unclaimed / nodes) / (total + unclaimed)
