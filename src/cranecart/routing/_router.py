"""Choose the replica, or the instance of a plain service, for a request."""

import contextlib
import functools
import operator
import random
from collections import Counter
from collections.abc import Callable, Collection, Generator, Sequence

import attrs

from cranecart.clocks import since_boot
from cranecart.dispatch import (
    DispatchRequest,
    ForecastErrors,
    Refuse,
    ReplicaState,
    decide,
    spread_retry_after,
)
from cranecart.exceptions import NoReplicaError, OverloadedError
from cranecart.fleet import Fleet, ServingHead
from cranecart.logs import decision
from cranecart.models import EngineProfile, RouteConfig
from cranecart.ports import Incarnation, ListedInstance
from cranecart.routing._availability import (
    Named,
    available_targets,
    draw_available,
)
from cranecart.routing._ejection import OutlierEjection
from cranecart.routing._event_gaps import EventGapTracker
from cranecart.routing._in_flight import InFlightCounts, Target
from cranecart.routing._request import RoutingRequest
from cranecart.routing._stalls import StallDetector
from cranecart.throttling import TargetThrottle

# So many replicas near and as many far are drawn to decide between; more
# bring nothing where counts of other nodes are a beat old, and each one that is
# looked at costs the request time.
_MOST_ASKED = 12
# Plain services queue up to four times their slots on the users' sheets.
_PLAIN_QUEUE_PART = 2.0
# When a replica that forms now is open, and one that must wait for its
# members first.
_FORMING_SECONDS = 0.6
_NOTHING_FORMS_SECONDS = 2.0
# In which a full plain service ends a request.
_FULL_SECONDS = 0.2


def _tell_nobody(_incarnation: Incarnation) -> None:
    """Serve a router without other nodes."""


@attrs.define
class TargetRouter:
    """Routes by the forecast of the first event, or by counts.

    ``_elsewhere`` tells the requests that other nodes have at an instance,
    ``_run_seconds`` what part of a full engine's time a model's requests take.
    """

    _fleet: Fleet
    _random: random.Random
    _remote_in_flight: Callable[[str], int]
    _completion_interval: Callable[[str], float]
    _failure_domain: str = ''
    _clock: Callable[[], float] = since_boot
    # Told of instances of plain services that broke a connection.
    _report_broken: Callable[[Incarnation], None] = attrs.field(
        default=_tell_nobody
    )
    throttle: TargetThrottle = attrs.field(factory=TargetThrottle)
    gaps: EventGapTracker = attrs.field(factory=EventGapTracker, init=False)
    stalls: StallDetector = attrs.field(init=False)
    forecast_errors: ForecastErrors = attrs.field(
        factory=ForecastErrors, init=False
    )
    _ejection: OutlierEjection = attrs.field(
        factory=functools.partial(
            OutlierEjection, key=operator.attrgetter('incarnation')
        ),
        init=False,
    )
    _in_flight: InFlightCounts = attrs.field(factory=InFlightCounts, init=False)

    def choose(self, wanted: RoutingRequest) -> Target:
        """Return where to send.

        Raise ``NoReplicaError`` if nowhere, and ``OverloadedError`` where all
        targets are full for longer than the client waits.
        """
        engine = wanted.engine
        if engine is None:
            return self._choose_instance(wanted)
        return self._choose_replica(wanted, engine)

    def retry_after_seconds(self, wanted: RoutingRequest) -> float:
        """Return when a client should come back that targets have refused."""
        targets = _targets(
            self._fleet,
            wanted.config,
            wanted.service,
            wanted.model,
        )
        expected = min(
            (
                self.throttle.seconds_until_accepted(one.incarnation)
                for one in targets
            ),
            default=_NOTHING_FORMS_SECONDS,
        )
        return _return_after(self._random, wanted, expected)

    def has_untried_target(
        self,
        config: RouteConfig,
        service: str,
        model: str,
        tried: Collection[str],
    ) -> bool:
        """Tell whether a request could still go to another target.

        This is asked with every event of a stream, so that nothing is built.
        """
        is_open = self.throttle.is_unrestricted
        return any(
            one.id not in tried
            and (is_open or self.throttle.accepts(one.incarnation))
            for one in _targets(self._fleet, config, service, model)
        )

    @contextlib.contextmanager
    def track_in_flight(self, target: Target) -> Generator[None, None, None]:
        """Count one request more at a target while the context lasts."""
        self._in_flight.add(target)
        try:
            yield
        finally:
            self._in_flight.remove(target)

    def in_flight_counts(self) -> Counter[str]:
        """Return this node's requests in flight by instance."""
        return self._in_flight.in_flight

    def record_first_event(self, target: Target, model: str) -> None:
        """Take over that a stream's first event came."""
        if self._in_flight.record_first_event(target):
            seconds = self._clock() - target.sent_at
            late = seconds - target.forecast_seconds + target.error_seconds
            incarnation = target.instance.incarnation
            self.forecast_errors.record(incarnation, model, late, self._clock())

    def record_failure(
        self, incarnation: Incarnation, *, reached: bool = True
    ) -> None:
        """Count a failure that was the instance's."""
        self._ejection.record_failure(incarnation, reached=reached)

    def record_broken_connection(self, incarnation: Incarnation) -> None:
        """Take over that an instance of a plain service broke a connection.

        It may go down and up, and each of many nodes sends it too little to
        find that out: all pass it over at once, for a while. In drawn faults
        13 of 1,000 calls fail, and 28 where each node waits for three of its
        own.
        """
        is_news = not self._ejection.is_ejected(incarnation)
        self._ejection.record_failure(incarnation, reached=False)
        if is_news:
            decision(
                'target_passed_over', instance=incarnation.id, by='this node'
            )
            self._report_broken(incarnation)

    def eject_reported(self, incarnation: Incarnation) -> None:
        """Take over that an instance broke another node's connection."""
        if not self._ejection.is_ejected(incarnation):
            decision(
                'target_passed_over', instance=incarnation.id, by='another node'
            )
        self._ejection.eject_reported(incarnation)

    def record_success(self, incarnation: Incarnation) -> None:
        """Forget an instance's failures."""
        self._ejection.record_success(incarnation)

    def is_stalled(self, target: Target, model: str) -> bool:
        """Tell whether a replica gives none of its streams anything."""
        return self.stalls.is_stalled(target.instance.incarnation, model)

    def load(self, name: str) -> int:
        """Return the requests in flight at an instance over all nodes."""
        return self._in_flight.in_flight[name] + self._remote_in_flight(name)

    @stalls.default
    def _make_stalls(self) -> StallDetector:
        return StallDetector(self.gaps.stall_seconds)

    def _choose_replica(
        self, wanted: RoutingRequest, engine: EngineProfile
    ) -> Target:
        model = engine.model(wanted.model)
        allowed = self._eligible_heads(wanted)
        if not allowed or model is None:
            raise self._no_replica(wanted)
        taking, passed_over = draw_available(
            allowed,
            self.throttle,
            wanted.rank,
            functools.partial(_draw, self._random, self._failure_domain),
            functools.partial(_return_after, self._random, wanted),
        )
        heads = {
            head.id: head for head in self._without_unhealthy(taking, wanted)
        }
        ask = DispatchRequest(
            wanted.route,
            engine,
            model,
            wanted.prompt_tokens,
            wanted.elapsed_seconds,
            wanted.remaining_seconds,
            self._completion_interval(wanted.model),
            wanted.was_refused,
            wanted.is_resumed,
        )
        standings = [self._replica_state(one, wanted) for one in heads.values()]
        chosen = decide(ask, standings)
        if isinstance(chosen, Refuse):
            raise OverloadedError(
                f'a place is due {chosen.excess_seconds:.2f} s after its client left',
                retry_after=_return_after(
                    self._random, wanted, chosen.excess_seconds
                ),
            )
        head = heads[chosen.name]
        self.throttle.record_sent(head.incarnation)
        return Target(
            head.head,
            head.forming,
            self.load(head.id),
            'behind those in time' if chosen.is_deferred else 'in time',
            self._clock(),
            chosen.forecast_seconds,
            self._forecast_error(head.incarnation, wanted.model),
            chosen.is_deferred,
            passed_over,
        )

    def _without_unhealthy(
        self,
        drawn: Sequence[ServingHead],
        wanted: RoutingRequest,
    ) -> Sequence[ServingHead]:
        """Leave out replicas in doubt, but where no other is left."""
        good = self._ejection.without_ejected(drawn)
        moving = [
            one
            for one in good
            if not self.stalls.is_stalled(one.incarnation, wanted.model)
        ]
        return moving or good

    def _eligible_heads(self, wanted: RoutingRequest) -> Sequence[ServingHead]:
        heads = self._fleet.heads(wanted.service, wanted.model)
        if not wanted.tried and not wanted.avoided:
            return heads
        return _allowed(heads, wanted)

    def _replica_state(
        self, head: ServingHead, wanted: RoutingRequest
    ) -> ReplicaState:
        return ReplicaState(
            head.id,
            self.load(head.id),
            self._in_flight.deferred[head.id],
            self._forecast_error(head.incarnation, wanted.model),
            head.head.failure_domain == self._failure_domain,
        )

    def _forecast_error(self, incarnation: Incarnation, model: str) -> float:
        return self.forecast_errors.expected(incarnation, model, self._clock())

    def _no_replica(self, wanted: RoutingRequest) -> NoReplicaError:
        forms = self._fleet.recorded.is_forming(wanted.service, wanted.model)
        expected = _FORMING_SECONDS if forms else _NOTHING_FORMS_SECONDS
        return NoReplicaError(
            f'no whole replica of {wanted.model!r} serves',
            retry_after=_return_after(self._random, wanted, expected),
        )

    def _choose_instance(self, wanted: RoutingRequest) -> Target:
        allowed = _allowed(self._fleet.plain(wanted.service), wanted)
        if not allowed:
            raise NoReplicaError(
                f'no instance of {wanted.service!r} serves',
                retry_after=_NOTHING_FORMS_SECONDS,
            )
        instances = available_targets(
            allowed,
            self.throttle,
            wanted.rank,
            functools.partial(_return_after, self._random, wanted),
        )
        good = self._ejection.without_ejected(instances)
        chosen = min(good, key=self._load_then_random)
        if _is_full(chosen, self.load(chosen.id)):
            # What is passed over may be well again; those others refuse.
            chosen = min(instances, key=self._load_then_random)
        load = self.load(chosen.id)
        if _is_full(chosen, load):
            raise OverloadedError(
                f'the least loaded target has {load} requests',
                retry_after=_return_after(self._random, wanted, _FULL_SECONDS),
            )
        self.throttle.record_sent(chosen.incarnation)
        return Target(
            chosen,
            None,
            load,
            'fewest in flight',
            self._clock(),
            throttled=len(allowed) - len(instances),
        )

    def _load_then_random(self, one: ListedInstance) -> tuple[int, float]:
        return self.load(one.id), self._random.random()


def _draw(
    source: random.Random,
    failure_domain: str,
    heads: Sequence[ServingHead],
) -> Sequence[ServingHead]:
    """Draw replicas to decide between, near ones and far ones."""
    near: list[ServingHead] = []
    far: list[ServingHead] = []
    for one in heads:
        is_near = one.head.failure_domain == failure_domain
        (near if is_near else far).append(one)
    return [
        head
        for side in (near, far)
        for head in source.sample(side, min(_MOST_ASKED, len(side)))
    ]


def _return_after(
    source: random.Random,
    wanted: RoutingRequest,
    expected: float,
) -> float:
    """Return when a refused client should come back, drawn for it."""
    return spread_retry_after(
        expected, wanted.remaining_seconds, source.random()
    )


def _targets(
    fleet: Fleet,
    config: RouteConfig,
    service: str,
    model: str,
) -> Sequence[ServingHead | ListedInstance]:
    if config.engine(service) is None:
        return fleet.plain(service)
    return fleet.heads(service, model)


def _is_full(instance: ListedInstance, load: int) -> bool:
    return load >= instance.slots * (1 + _PLAIN_QUEUE_PART)


def _allowed(targets: Sequence[Named], wanted: RoutingRequest) -> list[Named]:
    """Leave out those that were tried, and if possible those passed over."""
    left = [one for one in targets if one.id not in wanted.tried]
    good = [one for one in left if one.id not in wanted.avoided]
    return good or left
