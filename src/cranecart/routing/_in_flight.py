"""This node's requests at targets, counted by instance."""

import contextlib
from collections import Counter
from collections.abc import Generator

import attrs

from cranecart.ports import ListedInstance


@attrs.frozen(eq=False)
class Target:
    """The target of one attempt, and why it was chosen.

    ``replica_epoch`` is the replica and the epoch in which it was formed, None
    for an instance of a plain service. ``load`` counts the requests that all
    nodes had there. ``error_seconds`` is the part of ``forecast_seconds`` that
    was learned from earlier first events. A request that ``is_deferred`` will
    miss its objective and lets others pass. ``throttled`` counts the targets
    that were left out as their own limits allow no request now. ``pace`` is the
    factor by which the target was known to be slower than declared.
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
    pace: float = 1


@attrs.define
class InFlightCounts:
    """Requests in flight by instance.

    A deferred request counts in ``deferred`` until its first event, and in
    ``in_flight`` from then on.
    """

    in_flight: Counter[str] = attrs.field(factory=Counter, init=False)
    deferred: Counter[str] = attrs.field(factory=Counter, init=False)
    _started: set[Target] = attrs.field(factory=set, init=False)

    @contextlib.contextmanager
    def track(self, target: Target) -> Generator[None, None, None]:
        """Count a request while the context lasts."""
        self.add(target)
        try:
            yield
        finally:
            self.remove(target)

    def add(self, target: Target) -> None:
        """Count a request."""
        self._counter_of(target)[target.instance.id] += 1

    def record_first_event(self, target: Target) -> bool:
        """Record a first event; return whether its request was not deferred."""
        if not target.is_deferred:
            return True
        if target not in self._started:
            self.remove(target)
            self._started.add(target)
            self.add(target)
        return False

    def remove(self, target: Target) -> None:
        """Stop counting a request."""
        counter = self._counter_of(target)
        counter[target.instance.id] -= 1
        if counter[target.instance.id] <= 0:
            counter.pop(target.instance.id)
        self._started.discard(target)

    def _counter_of(self, target: Target) -> Counter[str]:
        is_waiting = target.is_deferred and target not in self._started
        return self.deferred if is_waiting else self.in_flight
