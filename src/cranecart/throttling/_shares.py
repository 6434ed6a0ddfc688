"""How many nodes send to a target with a limit, and how much each may send.

The limit applies to all nodes together, without a coordinator. If all nodes
divided it, their bursts would add up: nine nodes with one saved request each
exceed a limit of 1.4 requests a second, and a node's share of a few requests a
second is too small to be useful. So only as many nodes send as the limit
supports, and all others pass the target over.
"""

import math
from typing import Protocol

import attrs

from cranecart.throttling._cold import JITTER_SECONDS, WINDOW_SECONDS

# The guaranteed bound: no window of this length contains more requests than the
# limit allows in it plus the tolerance, whatever the number of nodes.
_WINDOW_SECONDS = 4.0
_WINDOW_TOLERANCE = 2
# What a node may send beyond the rate, so that no token is lost when its
# requests arrive unevenly.
_MIN_BURST = 2.0
# The minimum share of each node that sends.
_MIN_SHARE_PER_SECOND = 4.0
# A target with a limit of zero still receives an occasional request, as no node
# would detect the end of the limit otherwise.
_MIN_LIMIT_PER_SECOND = 0.1
# What the nodes of another failure domain may send to a cold target if those of
# its own are not heard: half of the target's rate under the usual bound.
_FALLBACK_FRACTION = 0.31
# By how much the shares of the own domain's nodes exceed the rate together, as
# requests come unevenly: with 3 requests a second at each of 46 nodes and 15
# cold replicas, 18 of 26 requests a window use 7.0 a second, 16 use 6.5.
_OWN_DOMAIN_FACTOR = 1.2
# One request for each of the two.
_MIN_DEALT = 2
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
        window = _WINDOW_SECONDS + JITTER_SECONDS
        allowed = (limit * _WINDOW_SECONDS + _WINDOW_TOLERANCE) / nodes
        max_in_window = max(1, int(allowed + _EPSILON)) + 1 - _EPSILON
        per_second = limit / nodes
        burst = max(_MIN_BURST, max_in_window - window * per_second)
        return Share(min(per_second, (max_in_window - burst) / window), burst)


@attrs.frozen
class ColdRule:
    """Divides what a cold target takes into single requests a window.

    The bound is ``overshoot`` times the target's rate and ``slack`` requests in
    any second, of all nodes together, whether or not they hear each other. So
    a share does not depend on which nodes are alive: the requests of a window
    are dealt to the known nodes (``dealt_requests`` in ``mesh``), and each
    keeps to its own. That also makes shares small enough for nodes that have
    only a few requests a second.
    """

    overshoot: float = 1.5
    slack: float = 5

    def max_nodes(self, limit: float) -> int:
        """Return how many requests of a window are dealt to nodes.

        The nodes of the target's failure domain get little more than its rate.
        """
        bound = self.overshoot * limit * WINDOW_SECONDS + self.slack
        window = WINDOW_SECONDS + JITTER_SECONDS
        own_domain = limit * window * _OWN_DOMAIN_FACTOR
        useful = math.ceil(own_domain / (1 - _FALLBACK_FRACTION))
        return int(min(bound, max(_MIN_DEALT, useful)) + _EPSILON)

    def share(self, _limit: float, nodes: int) -> Share:
        """Return the share of a node that is dealt this many requests."""
        return Share(nodes / (WINDOW_SECONDS + JITTER_SECONDS), nodes)


def split_requests(total: int) -> tuple[int, int]:
    """Split requests between a target's own failure domain and another."""
    fallback = round(total * _FALLBACK_FRACTION)
    return total - fallback, fallback
