"""Count events within a window of time."""

from collections.abc import Sequence


def max_in_window(times: Sequence[float], seconds: float) -> int:
    """Return the most of some ascending times in any window of a length."""
    first = 0
    max_count = 0
    for last, at in enumerate(times):
        while at - times[first] > seconds:
            first += 1
        max_count = max(max_count, last + 1 - first)
    return max_count
