"""Counters of what may be sent, whose callers pass the current time."""

from collections import deque
from typing import Protocol

import attrs


class Bucket(Protocol):
    """Says whether requests may be sent now, and counts them."""

    burst: float

    def set_rate(self, per_second: float, burst: float, now: float) -> None:
        """Change rate and burst, keeping what was counted."""

    def has_tokens(self, count: int, now: float) -> bool:
        """Return whether this many requests may be sent now."""

    def take(self, now: float) -> None:
        """Count a request."""

    def seconds_to_token(self, now: float) -> float:
        """Return the seconds until a request may be sent."""


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


@attrs.define
class WindowCounter:
    """Allows at most ``burst`` requests in any window, and none at first.

    A token bucket with the same bound for windows allows hardly a burst, and so
    loses half of the rate of a node with few, irregular requests.
    """

    burst: float
    opens_at: float
    window_seconds: float
    _sent_at: deque[float] = attrs.field(factory=deque, init=False)

    def set_rate(self, _per_second: float, burst: float, _now: float) -> None:
        """Change how many requests are allowed."""
        self.burst = burst

    def has_tokens(self, count: int, now: float) -> bool:
        """Return whether this many requests may be sent now."""
        self._forget(now)
        return now >= self.opens_at and len(self._sent_at) + count <= self.burst

    def take(self, now: float) -> None:
        """Count a request."""
        self._sent_at.append(now)

    def seconds_to_token(self, now: float) -> float:
        """Return the seconds until a request may be sent."""
        self._forget(now)
        excess = len(self._sent_at) - int(self.burst)
        opens_at = self.opens_at
        if excess >= 0:
            last = self._sent_at[min(excess, len(self._sent_at) - 1)]
            opens_at = max(opens_at, last + self.window_seconds)
        return max(0, opens_at - now)

    def _forget(self, now: float) -> None:
        while self._sent_at and self._sent_at[0] <= now - self.window_seconds:
            self._sent_at.popleft()
