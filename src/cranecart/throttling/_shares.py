"""How many nodes send to a target with a limit, and how much each.

A limit is a sum over nodes that nobody leads. Divided by all nodes, the burst of
each adds up: nine nodes with one request saved each pass a limit of 1.4 a
second, and of a few requests a second a node's part is too small to be used.
So only as many nodes send as the limit bears, and all others pass the target
over.
"""

from typing import Protocol

import attrs

# The aim: no span of so many seconds sees more than what the limit allows in
# it, and so many more, whatever the number of nodes.
_SPAN_SECONDS = 4.0
_SPAN_EXTRA = 2
# Requests come closer to each other than they were sent by what connecting
# takes longer for the first.
_SPREAD_SECONDS = 0.1
# What a node sends on beyond the rate, so that a token is not lost while its
# requests come unevenly.
_BURST = 2.0
# What each node that sends should have at least.
_LEAST_SHARE_PER_SECOND = 4.0
# A target that takes nothing is still asked now and then, or nobody would learn
# when its limit has gone.
_LEAST_PER_SECOND = 0.1
# Keeps a bound that is met exactly from being passed by a rounding.
_TINY = 1e-6


@attrs.frozen
class Share:
    """One node's part: requests a second, and how many it may save up."""

    per_second: float
    burst: float


class ShareRule(Protocol):
    """Divides a limit between nodes."""

    def max_nodes(self, limit: float) -> int:
        """Return how many nodes may send at most."""

    def share(self, limit: float, nodes: int) -> Share:
        """Return what each of so many nodes may send."""


class FewestNodes:
    """As few nodes send as can use the limit."""

    def max_nodes(self, limit: float) -> int:
        """Return how many nodes may send at most."""
        return max(1, int(limit / _LEAST_SHARE_PER_SECOND))

    def share(self, limit: float, nodes: int) -> Share:
        """Return what each of so many nodes may send.

        A bucket lets no more pass in a span than its burst and what comes in
        it; whole requests only, so that what is left to the next one is free.
        """
        limit = max(limit, _LEAST_PER_SECOND)
        span = _SPAN_SECONDS + _SPREAD_SECONDS
        allowed = (limit * _SPAN_SECONDS + _SPAN_EXTRA) / nodes
        most = max(1, int(allowed + _TINY)) + 1 - _TINY
        per_second = limit / nodes
        burst = max(_BURST, most - span * per_second)
        return Share(min(per_second, (most - burst) / span), burst)
