"""How many nodes send to a target with a limit, and how much each may send.

The limit applies to all nodes together, without a coordinator. If all nodes
divided it, their bursts would add up: nine nodes with one saved request each
exceed a limit of 1.4 requests a second, and a node's share of a few requests a
second is too small to be useful. So only as many nodes send as the limit
supports, and all others pass the target over.
"""

from typing import Protocol

import attrs

# The guaranteed bound: no window of this length contains more requests than the
# limit allows in it plus the tolerance, whatever the number of nodes.
_WINDOW_SECONDS = 4.0
_WINDOW_TOLERANCE = 2
# Requests arrive closer together than they were sent, by the extra time that a
# new connection costs the earlier ones.
_JITTER_SECONDS = 0.1
# What a node may send beyond the rate, so that no token is lost when its
# requests arrive unevenly.
_MIN_BURST = 2.0
# The minimum share of each node that sends.
_MIN_SHARE_PER_SECOND = 4.0
# A target with a limit of zero still receives an occasional request, as no node
# would detect the end of the limit otherwise.
_MIN_LIMIT_PER_SECOND = 0.1
# Keeps rounding from exceeding a bound that is met exactly.
_EPSILON = 1e-6


@attrs.frozen
class Share:
    """One node's share: requests a second, and the size of a burst."""

    per_second: float
    burst: float


class ShareRule(Protocol):
    """Divides a limit between nodes."""

    def max_nodes(self, limit: float) -> int:
        """Return how many nodes may send at most."""

    def share(self, limit: float, nodes: int) -> Share:
        """Return the share of each node if this many nodes send."""


class FewestNodes:
    """Divides a limit between as few nodes as can use it."""

    def max_nodes(self, limit: float) -> int:
        """Return how many nodes may send at most."""
        return max(1, int(limit / _MIN_SHARE_PER_SECOND))

    def share(self, limit: float, nodes: int) -> Share:
        """Return the share of each node if this many nodes send.

        In any window a bucket passes at most its burst plus the tokens that
        accrue in the window. Only whole requests count, so that a fraction of
        one may be added to the burst.
        """
        limit = max(limit, _MIN_LIMIT_PER_SECOND)
        window = _WINDOW_SECONDS + _JITTER_SECONDS
        allowed = (limit * _WINDOW_SECONDS + _WINDOW_TOLERANCE) / nodes
        max_in_window = max(1, int(allowed + _EPSILON)) + 1 - _EPSILON
        per_second = limit / nodes
        burst = max(_MIN_BURST, max_in_window - window * per_second)
        return Share(min(per_second, (max_in_window - burst) / window), burst)
