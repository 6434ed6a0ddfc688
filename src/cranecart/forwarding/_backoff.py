"""Grow the intervals between tries at finding a target; no I/O."""

import attrs

_SHORTEST_SECONDS = 0.1
_LONGEST_SECONDS = 0.4


@attrs.define
class Backoff:
    """When to look for a target again, as a time of ``since_boot``.

    The second try follows the first at once.
    """

    _interval: float = attrs.field(default=0, init=False)
    _due_at: float = attrs.field(default=float('-inf'), init=False)

    def seconds_left(self, now: float) -> float:
        """Return the time until the next try."""
        return max(0, self._due_at - now)

    def postpone(self, now: float) -> None:
        """Put the next try off for a longer interval than before."""
        self._due_at = now + self._interval
        self._interval = min(
            max(2 * self._interval, _SHORTEST_SECONDS), _LONGEST_SECONDS
        )
