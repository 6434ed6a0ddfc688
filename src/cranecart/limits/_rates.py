"""Limit the tokens per second of each organisation, by this node's share."""

from collections.abc import Callable

import attrs

from cranecart.clocks import since_boot
from cranecart.declarations import OrganisationSpec
from cranecart.exceptions import OverLimitError

_BURST_SECONDS = 4.0
# Sent while a limit, or this node's share of it, is zero.
_NO_RATE_RETRY_AFTER_SECONDS = 1.0


@attrs.define
class _Bucket:
    tokens: float
    refilled_at: float


@attrs.define
class TokenRateLimiter:
    """A token bucket for each organisation."""

    _share: Callable[[str], float]
    _clock: Callable[[], float] = since_boot
    _buckets: dict[str, _Bucket] = attrs.field(factory=dict, init=False)

    def take(self, organisation: OrganisationSpec, tokens: int) -> None:
        """Take tokens; raise ``OverLimitError`` with the delay before a retry.

        A call for more than a burst is admitted once the bucket is full, and
        its excess leaves the bucket in debt.
        """
        now = self._clock()
        name = organisation.name
        rate = organisation.limits.tokens_per_second * self._share(name)
        if rate <= 0:
            raise OverLimitError(
                f'{name} may use no tokens at present',
                retry_after=_NO_RATE_RETRY_AFTER_SECONDS,
            )
        burst = rate * _BURST_SECONDS
        bucket = self._buckets.setdefault(name, _Bucket(burst, now))
        accrued = (now - bucket.refilled_at) * rate
        bucket.tokens = min(burst, bucket.tokens + accrued)
        bucket.refilled_at = now
        missing = min(tokens, burst) - bucket.tokens
        if missing > 0:
            raise OverLimitError(
                f'{name} has exceeded its limit of tokens per second',
                retry_after=missing / rate,
            )
        bucket.tokens -= tokens
