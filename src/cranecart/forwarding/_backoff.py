"""Grow the intervals between tries at finding a target; no I/O."""

import attrs

_FIRST_SECONDS = 0.1
_LONGEST_SECONDS = 0.4


@attrs.define
class Backoff:
    """When to look for a target again, as a time of ``since_boot``."""

    _interval: float = attrs.field(default=_FIRST_SECONDS, init=False)
    _due_at: float = attrs.field(default=float('-inf'), init=False)

    def is_due(self, now: float) -> bool:
        """Return whether the latest interval is over."""
        return now >= self._due_at

    def postpone(self, now: float) -> float:
        """Start the next interval; return its seconds."""
        seconds = self._interval
        self._due_at = now + seconds
        self._interval = min(2 * seconds, _LONGEST_SECONDS)
        return seconds
