"""A token bucket whose callers pass the current time."""

import attrs


@attrs.define
class TokenBucket:
    """Tokens that accrue at a rate, up to the size of a burst.

    The bucket starts empty and accrues from ``filled_at`` on, which may be in
    the future.
    """

    per_second: float
    burst: float
    filled_at: float
    _tokens: float = attrs.field(default=0, init=False)

    def set_rate(self, per_second: float, burst: float, now: float) -> None:
        """Change rate and burst, keeping the accrued tokens."""
        self._refill(now)
        self.per_second = per_second
        self.burst = burst
        self._tokens = min(self._tokens, burst)

    def has_tokens(self, count: int, now: float) -> bool:
        """Return whether the bucket contains at least ``count`` tokens."""
        self._refill(now)
        return self._tokens >= count

    def take(self, now: float) -> None:
        """Take a token."""
        self._refill(now)
        self._tokens -= 1

    def seconds_to_token(self, now: float) -> float:
        """Return the seconds until a token is available."""
        self._refill(now)
        missing = max(0, 1 - self._tokens)
        return max(0, self.filled_at - now) + missing / self.per_second

    def _refill(self, now: float) -> None:
        if now > self.filled_at:
            earned = (now - self.filled_at) * self.per_second
            self._tokens = min(self.burst, self._tokens + earned)
            self.filled_at = now
