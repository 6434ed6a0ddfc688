"""What became of the requests of a play."""

import enum
from collections import Counter

import attrs

from cranecart.emulation._engine import Run

# What users get from a late answer, against one in time.
_LATE_WORTH = 0.25


class Outcome(enum.Enum):
    """How a request ended for its client, counted from its first try."""

    IN_TIME = 'in time'
    LATE = 'late'
    REFUSED = 'refused'
    LEFT = 'its client left'


@attrs.define
class Result:
    """Outcomes counted by model and kind."""

    counts: Counter[tuple[str, Outcome]] = attrs.field(factory=Counter)

    def note(self, run: Run, outcome: Outcome) -> None:
        """Count a request."""
        self.counts[run.model.name, outcome] += 1

    def note_whole(self, run: Run) -> None:
        """Count a request that was answered."""
        first = run.last_at if run.first_at is None else run.first_at
        is_late = (
            first - run.asked_at > run.route.objective_seconds
            or run.longest_pause > run.route.pause_seconds
        )
        self.note(run, Outcome.LATE if is_late else Outcome.IN_TIME)

    def share(self, outcome: Outcome, model: str = '') -> float:
        """Return the part of requests, of one model if named."""
        chosen = Counter[Outcome]()
        for (name, ended), count in self.counts.items():
            if model in {'', name}:
                chosen[ended] += count
        return chosen[outcome] / max(1, chosen.total())

    @property
    def worth(self) -> float:
        """Return what users got, of 1."""
        late = _LATE_WORTH * self.share(Outcome.LATE)
        return self.share(Outcome.IN_TIME) + late
