"""Policies for a model that is short, to be compared with the forecast alone.

The load is one in which half of what is asked fits, for seconds.
"""

from collections.abc import Mapping, Sequence

import attrs

from cranecart.dispatch import Admission, DispatchRequest, Refuse, Send
from cranecart.load_shedding import (
    AdmissionPlan,
    EventCounts,
    LoadExchange,
    return_seconds,
)
from cranecart.simulation._engine import Engine, SimulatedRequest
from cranecart.simulation._policies import ForecastPolicy

_HEARTBEAT_SECONDS = 0.25
# Occupancy of all slots from which requests are refused, for the rank 1 and
# lower for each further rank.
_FULL_OCCUPANCY = 1.2
_OCCUPANCY_STEP = 0.2


@attrs.define
class ReportRelay:
    """Passes on the reports of all nodes with each heartbeat, as a relay does."""

    exchanges: list[LoadExchange] = attrs.field(factory=list)
    _relay: LoadExchange = attrs.field(factory=LoadExchange, init=False)
    _sent_at: float = attrs.field(default=float('-inf'), init=False)

    def exchange_reports(self, now: float) -> None:
        """Send the heartbeats and the summary that are due."""
        if now - self._sent_at < _HEARTBEAT_SECONDS:
            return
        self._sent_at = now
        for number, exchange in enumerate(self.exchanges):
            report = exchange.local_report(now)
            self._relay.receive(str(number), '', report, now, is_summary=False)
        summary = self._relay.domain_report(now)
        for receiver in self.exchanges:
            receiver.receive('relay', '', summary, now, is_summary=True)


@attrs.define
class OccupancyLevels(ForecastPolicy):
    """Refuses a rank while more slots than its level are in use."""

    def choose(
        self,
        request: SimulatedRequest,
        engines: Sequence[Engine],
        in_flight: Mapping[str, int],
        deferred: Mapping[str, int],
        now: float,
    ) -> Send | Refuse:
        """Return the decision for a request."""
        slots = sum(engine.profile.slots for engine in engines)
        used = sum(in_flight.get(engine.name, 0) for engine in engines)
        level = _FULL_OCCUPANCY - _OCCUPANCY_STEP * request.route.rank
        is_new = request.first_event_at is None
        if is_new and used > (level + _OCCUPANCY_STEP) * slots:
            return self._refusal(request, Refuse(0), now)
        return super().choose(request, engines, in_flight, deferred, now)


@attrs.define
class ForecastByRank(ForecastPolicy):
    """Forecasts that do not count less urgent requests as being ahead."""

    _relay: ReportRelay
    _organisations: int = 0
    _exchange: LoadExchange = attrs.field(factory=LoadExchange, init=False)
    _event_counts: EventCounts = attrs.field(factory=EventCounts, init=False)
    _plan: AdmissionPlan | None = attrs.field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        """Connect to the other nodes."""
        self._relay.exchanges.append(self._exchange)

    def choose(
        self,
        request: SimulatedRequest,
        engines: Sequence[Engine],
        in_flight: Mapping[str, int],
        deferred: Mapping[str, int],
        now: float,
    ) -> Send | Refuse:
        """Return the decision for a request."""
        if not request.is_retry and request.first_event_at is None:
            self._record_arrival(request, engines[0], now)
        self._relay.exchange_reports(now)
        self._plan = self._exchange.plan(
            request.model.name, len(engines), now, self._organisations
        )
        decision = super().choose(request, engines, in_flight, deferred, now)
        if isinstance(decision, Refuse) or decision.is_deferred:
            self._exchange.record_shortage(request.model.name, now)
        return decision

    def record_first_event(
        self,
        request: SimulatedRequest,
        decision: Send,
        seconds: float,
        now: float,
    ) -> None:
        """Record the error of the forecast, and the size of the response."""
        self._event_counts.record(request.route.name, request.events)
        super().record_first_event(request, decision, seconds, now)

    def _record_arrival(
        self, request: SimulatedRequest, engine: Engine, now: float
    ) -> None:
        work = engine.profile.timing.work_seconds(
            self._event_counts.expected(request.route.name),
            request.prompt_tokens,
            engine.profile.slots,
        )
        self._exchange.record_arrival(
            request.model.name,
            request.route.rank,
            request.organisation,
            request.token,
            work * request.model.pace,
            now,
        )

    def _dispatch_request(
        self,
        request: SimulatedRequest,
        engines: Sequence[Engine],
        now: float,
    ) -> DispatchRequest:
        plain = super()._dispatch_request(request, engines, now)
        if self._plan is None:
            return plain
        fraction = self._plan.less_urgent_fraction(request.route.rank)
        return attrs.evolve(plain, passed_fraction=fraction)


@attrs.define
class PlannedAdmission(ForecastByRank):
    """Admits by the plan from the offered loads that nodes publish."""

    def _dispatch_request(
        self,
        request: SimulatedRequest,
        engines: Sequence[Engine],
        now: float,
    ) -> DispatchRequest:
        plain = super()._dispatch_request(request, engines, now)
        return attrs.evolve(plain, admission=self._admission(request))

    def _admission(self, request: SimulatedRequest) -> Admission:
        if self._plan is None:
            return Admission.UNPLANNED
        if request.is_retry or request.token < self._fraction(request):
            return Admission.ADMITTED
        return Admission.BEYOND_SHARE

    def _refusal(
        self, request: SimulatedRequest, refusal: Refuse, now: float
    ) -> Refuse:
        if not refusal.is_beyond_share:
            return super()._refusal(request, refusal, now)
        seconds = return_seconds(
            self._fraction(request),
            request.token,
            request.remaining_seconds(now),
            self._random.random(),
        )
        return Refuse(seconds, is_beyond_share=True)

    def _fraction(self, request: SimulatedRequest) -> float:
        if self._plan is None:
            return 1
        return self._exchange.fraction(
            self._plan, request.route.rank, request.organisation
        )
