"""Measure what clients ask of this node, and exchange it with other nodes."""

from collections.abc import Callable

import attrs

from cranecart.clocks import since_boot
from cranecart.demand import DemandMeter
from cranecart.forwarding import RoutedCall
from cranecart.load_shedding import EventCounts, LoadExchange, request_token
from cranecart.mesh import Heartbeat, LocalState, Summary


@attrs.define
class NodeDemand:
    """Records requests and streams of this node.

    Placement needs the demand of each model over some twenty seconds, admission
    under a shortage the load by rank and organisation over two seconds.
    """

    _exchange: LoadExchange
    _clock: Callable[[], float] = since_boot
    _meter: DemandMeter = attrs.field(factory=DemandMeter, init=False)
    _event_counts: EventCounts = attrs.field(factory=EventCounts, init=False)

    def mean_seconds(self, model: str) -> float:
        """Return the mean replica seconds per request of a model."""
        return self._meter.mean_seconds(model)

    def record_request(self, call: RoutedCall) -> None:
        """Record an incoming request.

        Requests that return are admitted in any case. Counted as offered load,
        they would lower the part of the new ones that is admitted.
        """
        model = call.facts.model
        if not model:
            return
        self._meter.record_request(model)
        if call.retrying_for_seconds:
            return
        if call.config.divides_capacity(call.service):
            events = self._event_counts.expected(call.route.name)
            self._exchange.record_arrival(
                model,
                call.rank,
                call.organisation,
                request_token(call.request_id),
                _work_seconds(call, events),
                self._clock(),
            )

    def record_work(self, call: RoutedCall, events: int) -> None:
        """Record a completed stream with its number of events."""
        work = _work_seconds(call, events)
        if work:
            self._meter.record_work(call.facts.model, work)
            self._event_counts.record(call.route.name, events)

    def receive(self, message: Heartbeat | Summary) -> None:
        """Keep the offered load that another node or a relay reports."""
        self._exchange.receive(
            message.sender,
            message.failure_domain,
            message.offered,
            self._clock(),
            is_summary=isinstance(message, Summary),
        )

    def update(self, local: LocalState) -> None:
        """Update what the next heartbeat announces."""
        now = self._clock()
        local.demand = {
            model: round(replicas, 3)
            for model, replicas in self._meter.by_model().items()
        }
        local.offered = self._exchange.local_report(now)
        local.domain_offered = self._exchange.domain_report(now)
        local.remote_offered = self._exchange.take_unforwarded()


def _work_seconds(call: RoutedCall, events: float) -> float:
    """Return the replica-seconds of a request, zero for a plain service."""
    facts = call.facts
    engine = call.config.engine(call.service)
    model = None if engine is None else engine.model(facts.model)
    if engine is None or model is None:
        return 0
    work = engine.timing.work_seconds(events, facts.prompt_tokens, engine.slots)
    return work * model.pace
