"""The retries of one request."""

import attrs

from cranecart.clocks import since_boot
from cranecart.retries._shared import ARRIVAL_SECONDS, SharedRetryBudget
from cranecart.retries._unread import UnreadAttempt

# A retry that was not used is kept this long. It has to arrive before the
# budget ceases to count it.
_KEPT_SECONDS = ARRIVAL_SECONDS / 2


@attrs.define
class RequestRetries:
    """Withdraws retries of a request, and keeps one that was not used.

    It is not kept for long: the budget counts it from its withdrawal.
    """

    _budget: SharedRetryBudget
    _service: str
    _is_kept: bool = attrs.field(default=False, init=False)
    _withdrawn_at: float = attrs.field(default=float('-inf'), init=False)

    @property
    def withdrawn_at(self) -> float:
        """Return when the last retry was withdrawn."""
        return self._withdrawn_at

    def is_available(self) -> bool:
        """Return whether the next retry is likely to be allowed."""
        return self._has_kept(since_boot()) or self._budget.is_available(
            self._service
        )

    def restore(self) -> None:
        """Keep a used retry, as nothing was sent."""
        self._is_kept = True

    def prolong(self, withdrawn_at: float, arrived_by: float) -> None:
        """Count a retry by its arrival, if that may be late."""
        self._budget.prolong(self._service, withdrawn_at, arrived_by)

    def hold(self, withdrawn_at: float, attempt: UnreadAttempt) -> None:
        """Count a retry until a silent target has read what it was sent."""
        self._budget.hold(self._service, withdrawn_at, attempt)

    def take(self) -> bool:
        """Use the next retry; return whether the budget allows it."""
        now = since_boot()
        is_allowed = self._has_kept(now) or self._withdraw(now)
        self._is_kept = False
        return is_allowed

    def _has_kept(self, now: float) -> bool:
        if now - self._withdrawn_at > _KEPT_SECONDS:
            self._is_kept = False
        return self._is_kept

    def _withdraw(self, now: float) -> bool:
        self._withdrawn_at = now
        return self._budget.withdraw(self._service)
