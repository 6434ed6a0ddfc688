"""A token bucket on a clock that its caller reads."""

import attrs


@attrs.define
class TokenBucket:
    """Tokens that come at a rate, and of which only so many are saved.

    It starts empty, and fills from ``filled_at`` on, which may lie ahead.
    """

    per_second: float
    burst: float
    filled_at: float
    _tokens: float = attrs.field(default=0, init=False)

    def set_rate(self, per_second: float, burst: float, now: float) -> None:
        """Go on at another rate with what is there."""
        self._refill(now)
        self.per_second = per_second
        self.burst = burst
        self._tokens = min(self._tokens, burst)

    def has_tokens(self, count: int, now: float) -> bool:
        """Tell whether so many tokens are there."""
        self._refill(now)
        return self._tokens >= count

    def take(self, now: float) -> None:
        """Take a token."""
        self._refill(now)
        self._tokens -= 1

    def seconds_to_token(self, now: float) -> float:
        """Return how long it takes until a token is there."""
        self._refill(now)
        missing = max(0, 1 - self._tokens)
        return max(0, self.filled_at - now) + missing / self.per_second

    def _refill(self, now: float) -> None:
        if now > self.filled_at:
            came = (now - self.filled_at) * self.per_second
            self._tokens = min(self.burst, self._tokens + came)
            self.filled_at = now
