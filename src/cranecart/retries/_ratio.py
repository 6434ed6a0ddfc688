"""Retries that a node earns with the requests of its own clients."""

from typing import Self

import attrs

from cranecart.retries._limits import RetryLimits
from cranecart.retries._usage import ExpiringSum

# Credit that is not used is lost after this part of a window. The sum over nodes
# then holds whatever becomes of them: a process that ends leaves little credit
# that its successor, or the nodes that take over its clients, could use again.
_CREDIT_WINDOW_FRACTION = 0.1
# The retry that a predecessor with few requests may have saved and used.
_SUCCESSOR_BALANCE = -1.0


@attrs.define
class RatioCredit:
    """Credit for retries: each request earns a part of one.

    Needs no agreement between nodes, as each counts its own requests. ``limits``
    has the part that a request earns. Requests before ``_earns_from`` earn
    nothing.
    """

    _earns_from: float = float('-inf')
    _balance: float = 0
    _requests: ExpiringSum = attrs.field(factory=ExpiringSum, init=False)
    _recent_requests: ExpiringSum = attrs.field(factory=ExpiringSum, init=False)
    _used: ExpiringSum = attrs.field(factory=ExpiringSum, init=False)

    @classmethod
    def of_successor(cls, limits: RetryLimits, started_at: float) -> Self:
        """Return the credit of a process that follows another.

        Its first requests make up for what the other may have earned and used
        just before it ended.
        """
        return cls(
            started_at + _CREDIT_WINDOW_FRACTION * limits.window_seconds,
            _SUCCESSOR_BALANCE,
        )

    def record_request(self, limits: RetryLimits, now: float) -> None:
        """Earn credit for a request."""
        window = limits.window_seconds
        self._requests.add(1, now + window)
        self._recent_requests.add(1, now + _CREDIT_WINDOW_FRACTION * window)
        if now >= self._earns_from:
            self._balance += limits.ratio

    def available(self, limits: RetryLimits, now: float) -> float:
        """Return the credit, at most one retry."""
        recent = limits.ratio * self._recent_requests.total(now)
        # Whole retries have to be possible at nodes with few requests.
        self._balance = min(self._balance, max(1, recent))
        unused = limits.ratio * self._requests.total(now) - self._used.total(
            now
        )
        return max(0, min(1, self._balance, unused))

    def use(self, amount: float, limits: RetryLimits, now: float) -> None:
        """Use some of the credit."""
        self._balance -= amount
        self._used.add(amount, now + limits.window_seconds)
