"""Tokens a second of each organisation, as far as this node's share goes."""

from collections.abc import Callable

import attrs

from cranecart.clocks import since_boot
from cranecart.declarations import OrganisationSpec
from cranecart.exceptions import LimitedError

_BURST_SECONDS = 4.0


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
        """Take tokens; raise ``LimitedError`` with when to come back.

        A call for more than a whole burst is let in once the bucket is full,
        and what it takes too much is owed.
        """
        now = self._clock()
        name = organisation.name
        rate = organisation.limits.tokens_per_second * self._share(name)
        most = rate * _BURST_SECONDS
        bucket = self._buckets.setdefault(name, _Bucket(most, now))
        earned = (now - bucket.refilled_at) * rate
        bucket.tokens = min(most, bucket.tokens + earned)
        bucket.refilled_at = now
        missing = min(tokens, most) - bucket.tokens
        if missing > 0:
            raise LimitedError(
                f'{name} has used its tokens a second',
                retry_after=missing / rate,
            )
        bucket.tokens -= tokens
