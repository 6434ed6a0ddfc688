"""A retry budget that keeps retries a small part of the traffic."""

import attrs

_DEPOSIT_PER_CALL = 0.1
_MAX_BALANCE = 10.0


@attrs.define
class RetryBudget:
    """Each call deposits a tenth of a retry; each retry withdraws one.

    The balance is bounded, so that a long idle period does not permit a retry
    storm, and the calls sent stay below 1.2 times the calls received.
    """

    _balance: float = _MAX_BALANCE

    def deposit(self) -> None:
        """Credit the budget for an incoming call."""
        self._balance = min(_MAX_BALANCE, self._balance + _DEPOSIT_PER_CALL)

    def withdraw(self) -> bool:
        """Withdraw one retry; return whether the budget allows it."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
