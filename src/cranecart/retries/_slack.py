"""Shares of the retries that all nodes have in common, and loans of them."""

import attrs

from cranecart.retries._usage import ExpiringSum

# How long a loan may be used after it was requested.
LOAN_SECONDS = 2.0
# The part of its unused share that a node lends at once, so that it does not have
# to borrow at the next failure of its own.
_LENT_FRACTION = 0.5


@attrs.define
class _Loan:
    """Retries that another node has lent."""

    ends_at: float
    left: float


@attrs.define
class SlackShare:
    """One node's share for one service; amounts are retries.

    A share is lent for a short time, and counts as used by the lender until the
    last retry that the borrower may make with it has left the window. So the
    sum over all nodes holds though loans are lost with messages or processes.
    """

    _used: ExpiringSum = attrs.field(factory=ExpiringSum, init=False)
    _lent: ExpiringSum = attrs.field(factory=ExpiringSum, init=False)
    _borrowed: list[_Loan] = attrs.field(factory=list, init=False)

    def available(self, share: float, now: float) -> float:
        """Return how much may be used, with a ``share`` of this size."""
        borrowed = sum(
            loan.left for loan in self._borrowed if loan.ends_at > now
        )
        return self._own(share, now) + borrowed

    def use(self, amount: float, now: float, window_seconds: float) -> None:
        """Use loans first, as they end soon, and then the own share."""
        self._borrowed = [loan for loan in self._borrowed if loan.ends_at > now]
        for loan in self._borrowed:
            from_loan = min(amount, loan.left)
            loan.left -= from_loan
            amount -= from_loan
        if amount:
            self._used.add(amount, now + window_seconds)

    def reschedule(self, counted_until: float, until: float) -> None:
        """Count a retry until another time, whatever it was taken from."""
        self._used.add(1, until)
        self._used.add(-1, counted_until)

    def lend(
        self, amount: float, share: float, now: float, window_seconds: float
    ) -> float:
        """Lend up to an amount; return how much."""
        lent = min(amount, _LENT_FRACTION * self._own(share, now))
        if lent:
            self._lent.add(lent, now + LOAN_SECONDS + window_seconds)
        return lent

    def add_loan(self, amount: float, requested_at: float) -> None:
        """Add a loan of another node."""
        self._borrowed.append(_Loan(requested_at + LOAN_SECONDS, amount))

    def _own(self, share: float, now: float) -> float:
        return max(0, share - self._used.total(now) - self._lent.total(now))
