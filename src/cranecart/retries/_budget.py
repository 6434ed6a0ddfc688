"""Budgets that keep retries a small part of the traffic."""

import attrs

_PART = 0.1
_MOST = 10.0


@attrs.define
class RetryBudget:
    """Each call pays in a tenth of a retry; each retry takes a whole one.

    What is saved is bounded, so that a long quiet time does not pay for a
    storm, and small enough that sent calls stay under 1.2 times the offered.
    """

    _balance: float = _MOST

    def deposit(self) -> None:
        """Count a call that came in."""
        self._balance = min(_MOST, self._balance + _PART)

    def withdraw(self) -> bool:
        """Take one retry; return whether the budget allows it."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
