"""Bound the loads from the weight store that one placer begins."""

from collections.abc import Callable

import attrs

from cranecart.clocks import since_boot

# A placer's part of the store's rate that it uses; the rest is for a placer
# that took over and does not know what was begun before.
_BUDGET_SHARE = 0.8
# Loads that may begin together after a quiet while, for a replica of three.
_BURST = 3.0


@attrs.define
class LoadBudget:
    """Tokens for loads, by the store's rate and the number of placers."""

    _clock: Callable[[], float] = since_boot
    _tokens: float = attrs.field(default=_BURST, init=False)
    _refilled_at: float | None = attrs.field(default=None, init=False)

    def take(self, count: int, loads_per_second: float, placers: int) -> bool:
        """Take some loads; return whether they may begin now."""
        now = self._clock()
        if self._refilled_at is not None:
            rate = _BUDGET_SHARE * loads_per_second / max(placers, 1)
            self._tokens += rate * (now - self._refilled_at)
        self._refilled_at = now
        # More than a burst is saved only towards one larger replica.
        self._tokens = min(max(_BURST, count), self._tokens)
        if count > self._tokens:
            return False
        self._tokens -= count
        return True
