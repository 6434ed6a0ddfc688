"""This node's requests at targets, and those that wait behind others."""

from collections import Counter

import attrs

from cranecart.ports import ListedInstance


@attrs.frozen(eq=False)
class Target:
    """Where one attempt goes, and why.

    ``seconds`` is the forecast of the first event, ``error_seconds`` what of
    it was learned from earlier ones there. A request that ``is_late`` lets
    those pass that can still be in time. ``passed_over`` counts the targets
    that take none for what they have said.
    """

    instance: ListedInstance
    replica_epoch: tuple[str, int] | None
    load: int
    reason: str
    sent_at: float = 0
    forecast_seconds: float = 0
    error_seconds: float = 0
    is_deferred: bool = False
    throttled: int = 0


@attrs.define
class InFlightCounts:
    """Counts by instance; what is late counts as behind until it begins."""

    in_flight: Counter[str] = attrs.field(factory=Counter, init=False)
    deferred: Counter[str] = attrs.field(factory=Counter, init=False)
    _started: set[Target] = attrs.field(factory=set, init=False)

    def add(self, target: Target) -> None:
        """Count a request."""
        self._counts(target)[target.instance.id] += 1

    def record_first_event(self, target: Target) -> bool:
        """Take over a first event; return whether it came as one in time."""
        if not target.is_deferred:
            return True
        if target not in self._started:
            self.remove(target)
            self._started.add(target)
            self.add(target)
        return False

    def remove(self, target: Target) -> None:
        """Count a request less."""
        counts = self._counts(target)
        counts[target.instance.id] -= 1
        if counts[target.instance.id] <= 0:
            counts.pop(target.instance.id)
        self._started.discard(target)

    def _counts(self, target: Target) -> Counter[str]:
        is_behind = target.is_deferred and target not in self._started
        return self.deferred if is_behind else self.in_flight
