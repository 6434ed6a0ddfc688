"""The retries of one request."""

import attrs

from cranecart.clocks import since_boot
from cranecart.retries._shared import SharedRetryBudget

# Silent targets are checked many times a second.
_SECURE_INTERVAL_SECONDS = 0.05


@attrs.define
class RequestRetries:
    """Withdraws retries of a request, the next one also in advance.

    An attempt that may still succeed is given up only once its retry is certain.
    """

    _budget: SharedRetryBudget
    _service: str
    _is_secured: bool = attrs.field(default=False, init=False)
    _secure_at: float = attrs.field(default=float('-inf'), init=False)

    def secure(self) -> bool:
        """Withdraw the next retry in advance; return whether there is one."""
        now = since_boot()
        if not self._is_secured and now >= self._secure_at:
            self._secure_at = now + _SECURE_INTERVAL_SECONDS
            self._is_secured = self._budget.withdraw(self._service)
        return self._is_secured

    def restore(self) -> None:
        """Take a used retry back, as nothing was sent."""
        self._is_secured = True

    def take(self) -> bool:
        """Use the next retry; return whether the budget allows it."""
        is_allowed = self._is_secured or self._budget.withdraw(self._service)
        self._is_secured = False
        return is_allowed
