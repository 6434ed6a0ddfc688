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
    forming: tuple[str, int] | None
    load: int
    reason: str
    sent_at: float = 0
    seconds: float = 0
    error_seconds: float = 0
    is_late: bool = False
    passed_over: int = 0


@attrs.define
class InFlightCounts:
    """Counts by instance; what is late counts as behind until it begins."""

    in_flight: Counter[str] = attrs.field(factory=Counter, init=False)
    behind: Counter[str] = attrs.field(factory=Counter, init=False)
    _begun: set[Target] = attrs.field(factory=set, init=False)

    def take(self, target: Target) -> None:
        """Count a request."""
        self._counts(target)[target.instance.id] += 1

    def begin(self, target: Target) -> bool:
        """Take over a first event; return whether it came as one in time."""
        if not target.is_late:
            return True
        if target not in self._begun:
            self.leave(target)
            self._begun.add(target)
            self.take(target)
        return False

    def leave(self, target: Target) -> None:
        """Count a request less."""
        counts = self._counts(target)
        counts[target.instance.id] -= 1
        if counts[target.instance.id] <= 0:
            counts.pop(target.instance.id)
        self._begun.discard(target)

    def _counts(self, target: Target) -> Counter[str]:
        is_behind = target.is_late and target not in self._begun
        return self.behind if is_behind else self.in_flight
