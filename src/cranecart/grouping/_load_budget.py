"""Limit the rate at which one placer starts loads from the weight store."""

from collections.abc import Callable

import attrs

from cranecart.clocks import since_boot

# Fraction of a placer's share of the store's rate that is used. The rest is
# left for a placer that has taken over and does not know which loads were
# started before.
_BUDGET_SHARE = 0.8
# Loads that may start together after an idle period: those of a replica of
# three members.
_BURST = 3.0


@attrs.define
class LoadBudget:
    """A token bucket for loads, refilled at a placer's share of the rate."""

    _clock: Callable[[], float] = since_boot
    _tokens: float = attrs.field(default=_BURST, init=False)
    _refilled_at: float | None = attrs.field(default=None, init=False)

    def take(self, count: int, loads_per_second: float, placers: int) -> bool:
        """Take tokens for ``count`` loads; return whether they may start."""
        now = self._clock()
        if self._refilled_at is not None:
            rate = _BUDGET_SHARE * loads_per_second / max(placers, 1)
            self._tokens += rate * (now - self._refilled_at)
        self._refilled_at = now
        # Tokens beyond the burst are kept only for one larger replica.
        self._tokens = min(max(_BURST, count), self._tokens)
        if count > self._tokens:
            return False
        self._tokens -= count
        return True
