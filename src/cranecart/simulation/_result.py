"""Outcomes of the simulated requests."""

import enum
from collections import Counter

import attrs

from cranecart.simulation._engine import SimulatedRequest

# Value of a late response to users, relative to one in time.
_LATE_UTILITY = 0.25


class Outcome(enum.Enum):
    """How a request ended, measured from the client's first attempt."""

    IN_TIME = 'in time'
    LATE = 'late'
    REFUSED = 'refused'
    ABANDONED = 'its client left'


@attrs.define
class Result:
    """Number of requests by model and outcome.

    ``first_event_seconds`` are the times to the first event of those in time.
    """

    counts: Counter[tuple[str, Outcome]] = attrs.field(factory=Counter)
    requests: list[tuple[SimulatedRequest, Outcome]] = attrs.field(factory=list)
    first_event_seconds: list[float] = attrs.field(factory=list)

    def record(self, request: SimulatedRequest, outcome: Outcome) -> None:
        """Count a request with an outcome."""
        self.counts[request.model.name, outcome] += 1
        self.requests.append((request, outcome))

    def record_answered(self, request: SimulatedRequest) -> None:
        """Count an answered request as in time or late."""
        first = (
            request.last_event_at
            if request.first_event_at is None
            else request.first_event_at
        )
        is_late = (
            first - request.first_sent_at > request.route.objective_seconds
            or request.longest_pause > request.route.pause_seconds
        )
        self.record(request, Outcome.LATE if is_late else Outcome.IN_TIME)
        if not is_late:
            self.first_event_seconds.append(first - request.first_sent_at)

    def share(self, outcome: Outcome, model: str = '') -> float:
        """Return an outcome's share of the requests, of one model if given."""
        chosen = Counter[Outcome]()
        for (name, ended), count in self.counts.items():
            if model in {'', name}:
                chosen[ended] += count
        return chosen[outcome] / max(1, chosen.total())

    def first_event_quantile(self, fraction: float) -> float:
        """Return a quantile of the first events' times of requests in time."""
        ranked = sorted(self.first_event_seconds)
        return ranked[int(len(ranked) * fraction)]

    @property
    def utility(self) -> float:
        """Return the mean value to users, between 0 and 1."""
        late = _LATE_UTILITY * self.share(Outcome.LATE)
        return self.share(Outcome.IN_TIME) + late
