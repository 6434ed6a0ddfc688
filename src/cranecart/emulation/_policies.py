"""Ways to choose a replica, to be compared on the same load."""

import random
from collections.abc import Mapping, Sequence
from typing import Protocol

import attrs

from cranecart.dispatch import (
    DispatchRequest,
    ForecastErrors,
    Refuse,
    ReplicaState,
    Send,
    decide,
    spread_retry_after,
)
from cranecart.emulation._engine import Engine, Run

# A replica takes as many requests beyond its slots before it is passed over.
_QUEUE_TIMES = 2
_FULL_SECONDS = 0.2


class Policy(Protocol):
    """Decides for one node; ``counts`` and ``behind`` are by engine."""

    def choose(
        self,
        run: Run,
        engines: Sequence[Engine],
        counts: Mapping[str, int],
        behind: Mapping[str, int],
        now: float,
    ) -> Send | Refuse:
        """Return where a request goes, or when it should come back."""

    def note_first(self, run: Run, sent: Send, took: float, now: float) -> None:
        """Take over when a first event came."""


@attrs.define
class FewestInFlight:
    """The replica with the fewest requests; a full one refuses."""

    _random: random.Random

    def choose(
        self,
        run: Run,
        engines: Sequence[Engine],
        counts: Mapping[str, int],
        behind: Mapping[str, int],
        now: float,
    ) -> Send | Refuse:
        """Return the least loaded, or refuse for a fixed time."""
        least = min(
            self._candidates(engines),
            key=lambda one: (counts.get(one.name, 0), self._random.random()),
        )
        if counts.get(least.name, 0) >= _QUEUE_TIMES * least.profile.slots:
            return Refuse(_FULL_SECONDS)
        return Send(least.name, 0)

    def note_first(self, run: Run, sent: Send, took: float, now: float) -> None:
        """Learn nothing."""

    def _candidates(self, engines: Sequence[Engine]) -> Sequence[Engine]:
        return engines


@attrs.define
class TwoChoices(FewestInFlight):
    """The less loaded one of two drawn replicas."""

    def _candidates(self, engines: Sequence[Engine]) -> Sequence[Engine]:
        return self._random.sample(list(engines), min(2, len(engines)))


@attrs.define
class Forecast:
    """The door's own decisions."""

    _random: random.Random
    _run_seconds: Mapping[str, float]
    _errors: ForecastErrors = attrs.field(factory=ForecastErrors, init=False)

    def choose(
        self,
        run: Run,
        engines: Sequence[Engine],
        counts: Mapping[str, int],
        behind: Mapping[str, int],
        now: float,
    ) -> Send | Refuse:
        """Return what the door decides."""
        left = run.route.timeout_seconds - (now - run.asked_at)
        ask = DispatchRequest(
            run.route,
            engines[0].profile,
            run.model,
            run.prompt_tokens,
            now - run.asked_at,
            left,
            self._run_seconds[run.model.name],
            run.has_returned,
            run.first_at is not None,
        )
        standings = [
            ReplicaState(
                one.name,
                counts.get(one.name, 0),
                behind.get(one.name, 0),
                self._errors.expected(one.name, run.model.name, now),
            )
            for one in engines
        ]
        self._random.shuffle(standings)
        chosen = decide(ask, standings)
        if isinstance(chosen, Refuse):
            drawn = self._random.random()
            return Refuse(
                spread_retry_after(chosen.excess_seconds, left, drawn)
            )
        return chosen

    def note_first(self, run: Run, sent: Send, took: float, now: float) -> None:
        """Learn how late it was against the forecast."""
        if sent.is_deferred:
            return
        name, model = sent.name, run.model.name
        expected = self._errors.expected(name, model, now)
        self._errors.record(
            name, model, took - sent.forecast_seconds + expected, now
        )
