"""Recognise retries of refused clients, and spread them in time.

Clients that all receive the same short retry time retry together, find the
same full queue, and use up their last attempt.
"""

from collections import defaultdict

import attrs

# Clients honour a retry time of up to a third of their remaining time.
_MAX_RETRY_FRACTION = 1 / 3
# After less time than this the load has not changed.
_MIN_RETRY_SECONDS = 0.2
# Random spread, so that refused clients do not retry at the same moment.
_JITTER_FRACTION = 0.5
# A deadline that is shorter than usual by less than this is explained by
# network transit.
_TRANSIT_SECONDS = 0.03
# Clients retry within a third of their deadline, which is at most 8 s on the
# specified deployments.
_REFUSAL_MEMORY_SECONDS = 3.0


def spread_retry_after(
    expected_seconds: float,
    remaining_seconds: float,
    random_fraction: float,
) -> float:
    """Return after how many seconds a refused client should retry.

    ``expected_seconds`` is when a slot is expected to be free;
    ``random_fraction``, from 0 to 1, spreads the clients.
    """
    jitter = 1 + _JITTER_FRACTION * random_fraction
    delay = max(_MIN_RETRY_SECONDS, expected_seconds) * jitter
    return min(delay, _MAX_RETRY_FRACTION * remaining_seconds)


@attrs.define
class ClientRetryDetector:
    """Infers from a client's deadline how long ago its first attempt was.

    Clients send their remaining time. The longest deadline seen on a route is
    taken for the initial one. A shorter deadline means a retry only while
    requests of the route are being refused.
    """

    _longest_deadline: dict[str, float] = attrs.field(
        factory=lambda: defaultdict(float),
        init=False,
    )
    _refused_at: dict[str, float] = attrs.field(factory=dict, init=False)

    def record_refusal(self, route: str, now: float) -> None:
        """Record that a client was refused and asked to retry later."""
        self._refused_at[route] = now

    def elapsed_seconds(
        self,
        route: str,
        deadline: float | None,
        now: float,
    ) -> float:
        """Return the time since the client's first attempt, zero if new."""
        if deadline is None:
            return 0
        self._longest_deadline[route] = max(
            self._longest_deadline[route], deadline
        )
        refused_at = self._refused_at.get(route, float('-inf'))
        elapsed = self._longest_deadline[route] - deadline
        may_be_retry = now - refused_at < _REFUSAL_MEMORY_SECONDS
        return elapsed if may_be_retry and elapsed > _TRANSIT_SECONDS else 0
