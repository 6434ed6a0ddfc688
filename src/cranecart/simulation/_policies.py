"""Replica selection policies, to be compared under the same load."""

import random
from collections import defaultdict
from collections.abc import Mapping, Sequence
from typing import Protocol

import attrs

from cranecart.dispatch import (
    DispatchRequest,
    ForecastErrors,
    GapSample,
    PaceRegistry,
    Refuse,
    ReplicaState,
    Send,
    decide,
    draw_by_pace,
    spread_retry_after,
)
from cranecart.ports import Incarnation
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

    def record_gap(
        self,
        request: SimulatedRequest,
        engine: Engine,
        seconds: float,
        now: float,
    ) -> None:
        """Record the seconds between two events of a request."""

    def report(self, now: float) -> Mapping[str, int]:
        """Return the slow replicas to report to other nodes."""

    def merge(self, sender: str, slow: Mapping[str, int], now: float) -> None:
        """Merge the report of another node."""


class NoPaces:
    """Base of policies that learn no pace."""

    def record_gap(
        self,
        _request: SimulatedRequest,
        _engine: Engine,
        _seconds: float,
        _now: float,
    ) -> None:
        """Do nothing."""

    def report(self, _now: float) -> Mapping[str, int]:
        """Report nothing."""
        return {}

    def merge(
        self, _sender: str, _slow: Mapping[str, int], _now: float
    ) -> None:
        """Do nothing."""


@attrs.define
class FewestInFlight(NoPaces):
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
class ForecastPolicy(NoPaces):
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
                self._expected_error(engine.name, engine.model.name, now),
                pace=self._pace(engine, now),
            )
            for engine in engines
        ]
        self._random.shuffle(states)
        decision = decide(
            dispatch_request, self._draw(states, engines[0].profile.slots)
        )
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
        expected = self._expected_error(name, model, now)
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

    def _expected_error(self, name: str, model: str, now: float) -> float:
        return self._errors.expected(name, model, now)

    def _pace(self, engine: Engine, now: float) -> float:
        return 1

    def _draw(
        self, states: Sequence[ReplicaState], _slots: int
    ) -> Sequence[ReplicaState]:
        return states


@attrs.define
class PacePolicy(ForecastPolicy):
    """Decides as the gateway does where nodes learn the pace of replicas.

    The other values are for comparison: without ``is_drawn`` slow replicas take
    part in all decisions, with ``adds_replica_errors`` the errors learned at a
    replica are added to the forecast as well.
    """

    is_drawn: bool = True
    adds_replica_errors: bool = False
    _paces: PaceRegistry = attrs.field(factory=PaceRegistry, init=False)
    _samples: dict[SimulatedRequest, GapSample] = attrs.field(
        factory=lambda: defaultdict(GapSample), init=False
    )

    def record_gap(
        self,
        request: SimulatedRequest,
        engine: Engine,
        seconds: float,
        now: float,
    ) -> None:
        """Record the pace that the gaps of a request show."""
        typical_gap = self._samples[request].add(seconds)
        if request.events <= 1:
            self._samples.pop(request)
        if typical_gap is not None:
            expected = engine.profile.timing.pass_seconds(len(engine.active))
            self._paces.record(
                Incarnation(engine.name),
                engine.model.name,
                expected * engine.model.pace,
                typical_gap,
                now,
            )

    def report(self, now: float) -> Mapping[str, int]:
        """Return the slow replicas to report to other nodes."""
        return self._paces.slow(now)

    def merge(self, sender: str, slow: Mapping[str, int], now: float) -> None:
        """Merge the report of another node."""
        self._paces.merge(sender, slow, now)

    def _expected_error(self, name: str, model: str, now: float) -> float:
        if self.adds_replica_errors:
            return super()._expected_error(name, model, now)
        return self._errors.expected_of_model(model)

    def _pace(self, engine: Engine, now: float) -> float:
        return self._paces.pace(
            Incarnation(engine.name), engine.model.name, now
        )

    def _draw(
        self, states: Sequence[ReplicaState], slots: int
    ) -> Sequence[ReplicaState]:
        if self.is_drawn:
            return draw_by_pace(self._random, states, slots)
        return states
