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

    _saved: float = _MOST

    def pay_in(self) -> None:
        """Count a call that came in."""
        self._saved = min(_MOST, self._saved + _PART)

    def take(self) -> bool:
        """Take one retry; return whether the budget allows it."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
