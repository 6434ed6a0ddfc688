"""Replica selection policies, to be compared under the same load."""

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
from cranecart.simulation._engine import Engine, SimulatedRequest

# A replica is full with this many times as many requests as it has slots.
_MAX_LOAD_FACTOR = 2
_FULL_RETRY_SECONDS = 0.2


class Policy(Protocol):
    """Selects replicas for one node.

    ``in_flight`` and ``deferred`` count requests by engine name.
    """

    def choose(
        self,
        request: SimulatedRequest,
        engines: Sequence[Engine],
        in_flight: Mapping[str, int],
        deferred: Mapping[str, int],
        now: float,
    ) -> Send | Refuse:
        """Return the chosen replica, or a refusal with a retry time."""

    def record_first_event(
        self,
        request: SimulatedRequest,
        decision: Send,
        seconds: float,
        now: float,
    ) -> None:
        """Record the seconds from sending a request to its first event."""


@attrs.define
class FewestInFlight:
    """Chooses the replica with the fewest requests; refuses if it is full."""

    _random: random.Random

    def choose(
        self,
        request: SimulatedRequest,
        engines: Sequence[Engine],
        in_flight: Mapping[str, int],
        deferred: Mapping[str, int],
        now: float,
    ) -> Send | Refuse:
        """Return the least loaded replica, or refuse with a fixed retry time."""
        least = min(
            self._candidates(engines),
            key=lambda engine: (
                in_flight.get(engine.name, 0),
                self._random.random(),
            ),
        )
        if (
            in_flight.get(least.name, 0)
            >= _MAX_LOAD_FACTOR * least.profile.slots
        ):
            return Refuse(_FULL_RETRY_SECONDS)
        return Send(least.name, 0)

    def record_first_event(
        self,
        request: SimulatedRequest,
        decision: Send,
        seconds: float,
        now: float,
    ) -> None:
        """Do nothing: this policy uses no latencies."""

    def _candidates(self, engines: Sequence[Engine]) -> Sequence[Engine]:
        return engines


@attrs.define
class TwoChoices(FewestInFlight):
    """Chooses the less loaded one of two random replicas."""

    def _candidates(self, engines: Sequence[Engine]) -> Sequence[Engine]:
        return self._random.sample(list(engines), min(2, len(engines)))


@attrs.define
class ForecastPolicy:
    """Decides as the gateway does, by forecasts of the first event."""

    _random: random.Random
    _service_seconds: Mapping[str, float]
    _errors: ForecastErrors = attrs.field(factory=ForecastErrors, init=False)

    def choose(
        self,
        request: SimulatedRequest,
        engines: Sequence[Engine],
        in_flight: Mapping[str, int],
        deferred: Mapping[str, int],
        now: float,
    ) -> Send | Refuse:
        """Return the gateway's decision."""
        dispatch_request = self._dispatch_request(request, engines, now)
        states = [
            ReplicaState(
                engine.name,
                in_flight.get(engine.name, 0),
                deferred.get(engine.name, 0),
                self._errors.expected(engine.name, request.model.name, now),
            )
            for engine in engines
        ]
        self._random.shuffle(states)
        decision = decide(dispatch_request, states)
        if isinstance(decision, Refuse):
            return self._refusal(request, decision, now)
        return decision

    def record_first_event(
        self,
        request: SimulatedRequest,
        decision: Send,
        seconds: float,
        now: float,
    ) -> None:
        """Record the error of the forecast."""
        if decision.is_deferred:
            return
        name, model = decision.name, request.model.name
        expected = self._errors.expected(name, model, now)
        self._errors.record(
            name, model, seconds - decision.forecast_seconds + expected, now
        )

    def _refusal(
        self, request: SimulatedRequest, refusal: Refuse, now: float
    ) -> Refuse:
        """Return a refusal with the retry time of the client."""
        return Refuse(
            spread_retry_after(
                refusal.excess_seconds,
                request.remaining_seconds(now),
                self._random.random(),
            )
        )

    def _dispatch_request(
        self,
        request: SimulatedRequest,
        engines: Sequence[Engine],
        now: float,
    ) -> DispatchRequest:
        return DispatchRequest(
            request.route,
            engines[0].profile,
            request.model,
            request.prompt_tokens,
            now - request.first_sent_at,
            request.remaining_seconds(now),
            self._service_seconds[request.model.name],
            request.is_retry,
            request.first_event_at is not None,
        )
