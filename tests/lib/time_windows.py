"""Count events in sliding time windows."""

from collections.abc import Sequence


def max_in_window(times: Sequence[float], seconds: float) -> int:
    """Return the maximum number of the sorted times within any ``seconds``."""
    start = 0
    max_count = 0
    for end, event_time in enumerate(times):
        while event_time - times[start] > seconds:
            start += 1
        max_count = max(max_count, end + 1 - start)
    return max_count
