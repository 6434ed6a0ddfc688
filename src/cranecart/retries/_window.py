"""A budget of repeated sends that holds over all nodes together."""

from collections import deque
from collections.abc import Callable

import attrs

from cranecart.clocks import since_boot


@attrs.frozen
class RetryLimits:
    """What a deployment allows: repeats within a sliding window.

    ``ratio`` is the part of the requests that may be sent again, ``slack``
    how many more over all nodes, ``window_seconds`` the window's length.
    """

    ratio: float
    slack: float
    window_seconds: float


# What is left for nodes that were restarted and have forgotten their sends,
# and for nodes that count each other late.
_MARGIN = 0.6


@attrs.define
class SharedRetryBudget:
    """This node's part of the budget, by service.

    Each node takes its part of the slack by the number of nodes it hears,
    and the ratio of its own requests, so that nothing has to be agreed.
    """

    limits: RetryLimits
    _count_nodes: Callable[[], int]
    _clock: Callable[[], float] = since_boot
    _requests: dict[str, deque[float]] = attrs.field(factory=dict, init=False)
    _retries: dict[str, deque[float]] = attrs.field(factory=dict, init=False)

    def record_request(self, service: str) -> None:
        """Count a request for a service."""
        self._requests.setdefault(service, deque()).append(self._clock())

    def withdraw(self, service: str) -> bool:
        """Take one repeated send; return whether the budget allows it."""
        requests = self._recent(self._requests, service)
        repeats = self._recent(self._retries, service)
        slack = self.limits.slack / max(self._count_nodes(), 1)
        allowed = _MARGIN * (slack + self.limits.ratio * len(requests))
        if len(repeats) + 1 > allowed:
            return False
        repeats.append(self._clock())
        return True

    def _recent(
        self,
        times: dict[str, deque[float]],
        service: str,
    ) -> deque[float]:
        kept = times.setdefault(service, deque())
        oldest = self._clock() - self.limits.window_seconds
        while kept and kept[0] < oldest:
            kept.popleft()
        return kept
