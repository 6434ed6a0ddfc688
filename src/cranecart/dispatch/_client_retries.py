"""When a refused client should come back, and who has come back.

Load answered: clients that are all told the same short time come back
together, find the queue that refused them and have lost their last try.
"""

from collections import defaultdict

import attrs

# Clients heed a time up to a third of what they have left.
_HEEDED_PART = 1 / 3
# Below this nothing has changed when they are back.
_LEAST_SECONDS = 0.2
# Times are spread by this part, so that not all come at the same moment.
_SPREAD_PART = 0.5
# A deadline that is shorter than the usual one by less is the way here.
_WAY_SECONDS = 0.03
# Clients come back within a third of their deadlines, 8 s at most on the
# users' sheets.
_MEMORY_SECONDS = 3.0


def spread_retry_after(
    expected_seconds: float,
    left_seconds: float,
    drawn: float,
) -> float:
    """Return when to come back, for a place expected in so many seconds.

    ``drawn`` is a random number from 0 to 1.
    """
    spread = 1 + _SPREAD_PART * drawn
    wanted = max(_LEAST_SECONDS, expected_seconds) * spread
    return min(wanted, _HEEDED_PART * left_seconds)


@attrs.define
class ClientRetryDetector:
    """Tells by its deadline how long ago a request's client first asked.

    Clients name what they have left; the longest that came on a route is
    taken for what they have at first. Only while requests of the route are
    being refused does a shorter one mean that its client has come back.
    """

    _longest_deadline: dict[str, float] = attrs.field(
        factory=lambda: defaultdict(float),
        init=False,
    )
    _refused_at: dict[str, float] = attrs.field(factory=dict, init=False)

    def record_refusal(self, route: str, now: float) -> None:
        """Take over that a client was told to come back."""
        self._refused_at[route] = now

    def elapsed_seconds(
        self,
        route: str,
        deadline: float | None,
        now: float,
    ) -> float:
        """Return since when a client has been asking, zero if it is new."""
        if deadline is None:
            return 0
        self._longest_deadline[route] = max(
            self._longest_deadline[route], deadline
        )
        refused_at = self._refused_at.get(route, float('-inf'))
        elapsed = self._longest_deadline[route] - deadline
        is_likely = now - refused_at < _MEMORY_SECONDS
        return elapsed if is_likely and elapsed > _WAY_SECONDS else 0
