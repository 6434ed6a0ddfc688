"""Count what comes within a span of time."""

from collections.abc import Sequence


def most_in_span(times: Sequence[float], seconds: float) -> int:
    """Return the most of some rising times in any span of a length."""
    first = 0
    most = 0
    for last, at in enumerate(times):
        while at - times[first] > seconds:
            first += 1
        most = max(most, last + 1 - first)
    return most
