"""Amounts that count until they expire."""

import heapq

import attrs


@attrs.define
class ExpiringSum:
    """The sum of amounts, each of which counts until its own time."""

    _total: float = attrs.field(default=0, init=False)
    _amounts: list[tuple[float, float]] = attrs.field(factory=list, init=False)

    def add(self, amount: float, expires_at: float) -> None:
        """Add an amount; it counts until ``expires_at``."""
        heapq.heappush(self._amounts, (expires_at, amount))
        self._total += amount

    def total(self, now: float) -> float:
        """Return the sum of the amounts that have not expired."""
        while self._amounts and self._amounts[0][0] <= now:
            self._total -= heapq.heappop(self._amounts)[1]
        if not self._amounts:
            # Rounding errors of the sum do not add up over time.
            self._total = 0
        return self._total
