"""Measure the load that arrives at this node, by model, rank, organisation."""

from collections import Counter, deque
from collections.abc import Mapping

import attrs

from cranecart.load_shedding._offered import OfferedLoad

# Covers about ten heartbeats, so that all nodes report the same surge, and is a
# third of the shortest surges (4 to 6 s).
_WINDOW_SECONDS = 2.0
_BUCKET_SECONDS = 0.25
# A route without completed streams is assumed to send a response of this many
# events, the average of the specified deployments' classes.
_PRIOR_EVENTS = 20.0
# The average follows the last few dozen streams of a route.
_MAX_STREAMS = 30

# A mean and the number of streams behind it.
_Mean = tuple[float, int]
_PRIOR: _Mean = (_PRIOR_EVENTS, 0)
_Bucket = tuple[int, Counter[OfferedLoad]]


@attrs.define
class OfferedLoadMeter:
    """Sums the arriving work over the last two seconds."""

    _buckets: deque[_Bucket] = attrs.field(factory=deque, init=False)

    def record(self, key: OfferedLoad, seconds: float, now: float) -> None:
        """Add the expected replica-seconds of an arriving request."""
        number = int(now / _BUCKET_SECONDS)
        if not self._buckets or self._buckets[-1][0] != number:
            self._discard_old(now)
            self._buckets.append((number, Counter()))
        self._buckets[-1][1][key] += seconds  # type: ignore[assignment]

    def rates(self, now: float) -> Mapping[OfferedLoad, float]:
        """Return the offered load in replica-seconds a second."""
        self._discard_old(now)
        total = Counter[OfferedLoad]()
        for _number, work in self._buckets:
            total.update(work)
        return {key: work / _WINDOW_SECONDS for key, work in total.items()}

    def _discard_old(self, now: float) -> None:
        oldest = int((now - _WINDOW_SECONDS) / _BUCKET_SECONDS)
        while self._buckets and self._buckets[0][0] <= oldest:
            self._buckets.popleft()


@attrs.define
class EventCounts:
    """The average number of events in the responses of each route.

    The cost of a request depends on its response, which is not known when it
    arrives; classes of one model differ by a factor of eight.
    """

    _means: dict[str, _Mean] = attrs.field(factory=dict, init=False)

    def record(self, route: str, events: int) -> None:
        """Record a completed stream."""
        mean, count = self._means.get(route, _PRIOR)
        count = min(count + 1, _MAX_STREAMS)
        self._means[route] = (mean + (events - mean) / (count + 1), count)

    def expected(self, route: str) -> float:
        """Return the expected number of events of a request."""
        return self._means.get(route, _PRIOR)[0]
