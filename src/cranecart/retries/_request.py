"""The retries of one request."""

import attrs

from cranecart.clocks import since_boot
from cranecart.retries._shared import ARRIVAL_SECONDS, SharedRetryBudget

# Silent targets are checked many times a second.
_SECURE_INTERVAL_SECONDS = 0.05


@attrs.define
class RequestRetries:
    """Withdraws retries of a request, the next one also in advance.

    An attempt that may still succeed is given up only once its retry is certain.
    One that is not used soon is lost: the budget counts it from its withdrawal.
    """

    _budget: SharedRetryBudget
    _service: str
    _is_secured: bool = attrs.field(default=False, init=False)
    _withdrawn_at: float = attrs.field(default=float('-inf'), init=False)
    _secure_at: float = attrs.field(default=float('-inf'), init=False)

    def secure(self) -> bool:
        """Withdraw the next retry in advance; return whether there is one."""
        now = since_boot()
        if not self._has_secured(now) and now >= self._secure_at:
            self._secure_at = now + _SECURE_INTERVAL_SECONDS
            self._is_secured = self._withdraw(now)
        return self._is_secured

    def restore(self) -> None:
        """Take a used retry back, as nothing was sent."""
        self._is_secured = True

    def take(self) -> bool:
        """Use the next retry; return whether the budget allows it."""
        now = since_boot()
        is_allowed = self._has_secured(now) or self._withdraw(now)
        self._is_secured = False
        return is_allowed

    def _has_secured(self, now: float) -> bool:
        if now - self._withdrawn_at > ARRIVAL_SECONDS:
            self._is_secured = False
        return self._is_secured

    def _withdraw(self, now: float) -> bool:
        self._withdrawn_at = now
        return self._budget.withdraw(self._service)
