"""Choose the replica, or the instance of a plain service, for a request."""

import functools
import random
from collections import Counter
from collections.abc import Callable, Collection, Sequence

import attrs

from cranecart.clocks import since_boot
from cranecart.dispatch import (
    DispatchRequest,
    ForecastErrors,
    Refuse,
    ReplicaState,
    decide,
    draw_by_pace,
    spread_retry_after,
)
from cranecart.exceptions import NoReplicaError, OverloadedError
from cranecart.fleet import Evacuations, Fleet, ServingHead
from cranecart.models import EngineModel, EngineProfile, RouteConfig
from cranecart.ports import Incarnation, ListedInstance
from cranecart.reachability import TargetDialer, TargetPaths
from cranecart.routing._availability import (
    TargetT,
    available_targets,
    draw_available,
    reached_targets,
    seconds_until_cold_accepts,
)
from cranecart.routing._broken import BrokenInstances
from cranecart.routing._ejection import OutlierEjection
from cranecart.routing._event_gaps import EventGapTracker
from cranecart.routing._in_flight import InFlightCounts, Target
from cranecart.routing._paces import TargetPaces
from cranecart.routing._request import RoutingRequest
from cranecart.routing._shortage import (
    PlannedAdmission,
    ShortageControl,
    choice_reason,
    overloaded_error,
)
from cranecart.routing._stalls import StallDetector
from cranecart.throttling import TargetThrottle

# Replicas sampled to decide between, in each of local and remote. More do not
# help where the counts of other nodes are one heartbeat old, and each one
# examined delays the request.
_SAMPLE_SIZE = 12
# Plain services queue requests up to four times their slots on the specified
# deployments.
_QUEUE_PER_SLOT = 2.0
# Expected time until a replica that is forming now serves, and until one that
# first needs members does.
_FORMING_SECONDS = 0.6
_NO_REPLICA_SECONDS = 2.0
# Expected time until a full plain service completes a request.
_BUSY_SECONDS = 0.2


def _incarnation_of(target: ServingHead | ListedInstance) -> Incarnation:
    """Return the incarnation, as ids are reused."""
    return target.incarnation


def _ignore_report(_incarnation: Incarnation) -> None:
    """Ignore a report, where there are no other nodes."""


@attrs.define
class TargetRouter:
    """Chooses targets by forecast latency or by requests in flight.

    ``_remote_in_flight`` returns the requests that other nodes have at an
    instance, ``_completion_interval`` the mean time between completed requests
    of a model at a fully occupied replica.
    """

    _fleet: Fleet
    _random: random.Random
    _remote_in_flight: Callable[[str], int]
    _completion_interval: Callable[[str], float]
    _failure_domain: str = ''
    _clock: Callable[[], float] = since_boot
    # Called with instances of plain services that broke a connection.
    _report_broken: Callable[[Incarnation], None] = attrs.field(
        default=_ignore_report
    )
    throttle: TargetThrottle = attrs.field(factory=TargetThrottle)
    dialer: TargetDialer = attrs.field(factory=TargetDialer)
    evacuations: Evacuations = attrs.field(
        default=attrs.Factory(
            lambda router: router._fleet.evacuations, takes_self=True
        ),
        init=False,
    )
    paces: TargetPaces = attrs.field(factory=TargetPaces)
    gaps: EventGapTracker = attrs.field(factory=EventGapTracker, init=False)
    stalls: StallDetector = attrs.field(init=False)
    forecast_errors: ForecastErrors = attrs.field(
        factory=ForecastErrors, init=False
    )
    shortage: ShortageControl = attrs.field(
        default=attrs.Factory(
            lambda router: ShortageControl(router._failure_domain),
            takes_self=True,
        ),
        init=False,
    )
    ejection: OutlierEjection = attrs.field(
        factory=functools.partial(OutlierEjection, key=_incarnation_of),
        init=False,
    )
    broken: BrokenInstances = attrs.field(
        default=attrs.Factory(
            lambda router: BrokenInstances(
                router.ejection, router._report_broken
            ),
            takes_self=True,
        ),
        init=False,
    )
    in_flight: InFlightCounts = attrs.field(factory=InFlightCounts, init=False)

    @property
    def paths(self) -> TargetPaths:
        """Return which targets this node reaches."""
        return self.dialer.paths

    def choose(self, request: RoutingRequest) -> Target:
        """Return the target to send to.

        Raise ``NoReplicaError`` if there is none, ``TargetsOutOfReachError`` if
        this node reaches none, and ``OverloadedError`` if all targets are full
        for longer than the client waits.
        """
        engine = request.engine
        if engine is None:
            return self._choose_instance(request)
        return self._choose_replica(request, engine)

    def retry_after_seconds(self, request: RoutingRequest) -> float:
        """Return after how many seconds a client should retry.

        For a client whose request was refused by the targets.
        """
        targets = _targets(
            self._fleet,
            request.config,
            request.service,
            request.model,
        )
        expected_seconds = min(
            (
                self.throttle.seconds_until_accepted(target.incarnation)
                for target in targets
            ),
            default=_NO_REPLICA_SECONDS,
        )
        return _retry_after(self._random, request, expected_seconds)

    def has_untried_target(
        self,
        config: RouteConfig,
        service: str,
        model: str,
        tried: Collection[str],
    ) -> bool:
        """Return whether another target accepts the request.

        Called for every event of a stream, so it builds no collection.
        """
        is_open = self.throttle.is_unrestricted
        return any(
            target.id not in tried
            and (is_open or self.throttle.accepts(target.incarnation))
            for target in _targets(self._fleet, config, service, model)
        )

    def in_flight_counts(self) -> Counter[str]:
        """Return this node's requests in flight by instance."""
        return self.in_flight.in_flight

    def record_first_event(self, target: Target, model: str) -> None:
        """Record that a stream's first event arrived."""
        if self.in_flight.record_first_event(target):
            seconds = self._clock() - target.sent_at
            error = seconds - target.forecast_seconds + target.error_seconds
            incarnation = target.instance.incarnation
            self.forecast_errors.record(
                incarnation, model, error, self._clock()
            )

    def record_failure(
        self, incarnation: Incarnation, *, reached: bool = True
    ) -> None:
        """Count a failure that the instance caused."""
        self.ejection.record_failure(incarnation, reached=reached)

    def record_success(self, incarnation: Incarnation) -> None:
        """Reset an instance's failures."""
        self.ejection.record_success(incarnation)

    def is_stalled(self, target: Target, model: str) -> bool:
        """Return whether a replica has stopped sending on all its streams."""
        return self.stalls.is_stalled(target.instance.incarnation, model)

    def has_heard_near(self, instance: ListedInstance, since: float) -> bool:
        """Return whether other targets of its group have sent events since."""
        return self.stalls.has_events_since(
            since,
            lambda other: (
                other != instance.incarnation and self._is_near(other, instance)
            ),
        )

    def load(self, name: str) -> int:
        """Return the requests in flight at an instance over all nodes."""
        return self.in_flight.in_flight[name] + self._remote_in_flight(name)

    def _is_near(self, incarnation: object, instance: ListedInstance) -> bool:
        if not isinstance(incarnation, Incarnation):
            return False
        other = self._fleet.find_instance(incarnation.id)
        return (
            other is not None
            and other.service == instance.service
            and other.failure_domain == instance.failure_domain
        )

    @stalls.default
    def _make_stalls(self) -> StallDetector:
        return StallDetector(self.gaps.stall_seconds)

    def _choose_replica(
        self, request: RoutingRequest, engine: EngineProfile
    ) -> Target:
        model = engine.model(request.model)
        eligible = self._eligible_heads(request)
        if not eligible or model is None:
            raise self._no_replica(request)
        eligible = reached_targets(eligible, self.paths, request)
        available, throttled = draw_available(
            eligible,
            self.throttle,
            request.rank,
            functools.partial(_sample, self._random, self._failure_domain),
            functools.partial(_retry_after, self._random, request),
        )
        heads = {
            head.id: head
            for head in self._without_unhealthy(available, request)
        }
        planned = self.shortage.admission(request, len(eligible), self._clock())
        states = [
            self._replica_state(target, request) for target in heads.values()
        ]
        choice = decide(
            _dispatch_request(
                request,
                engine,
                model,
                planned,
                self._completion_interval(request.model),
            ),
            draw_by_pace(self._random, states, engine.slots),
        )
        self.shortage.record(request, choice, self._clock())
        if isinstance(choice, Refuse):
            # A cold target that has had its share may accept requests before
            # the others have a slot.
            accepted_in = seconds_until_cold_accepts(
                eligible if throttled else (), self.throttle, request.rank
            )
            raise overloaded_error(
                request, choice, planned, accepted_in, self._random
            )
        head = heads[choice.name]
        self.throttle.record_sent(head.incarnation)
        return Target(
            head.head,
            head.replica_epoch,
            self.load(head.id),
            choice_reason(request, choice, planned),
            self._clock(),
            choice.forecast_seconds,
            self._forecast_error(head.incarnation, request.model),
            choice.is_deferred,
            throttled,
            self.paces.pace(head.incarnation, request.model),
        )

    def _without_unhealthy(
        self,
        drawn: Sequence[ServingHead],
        request: RoutingRequest,
    ) -> Sequence[ServingHead]:
        """Leave out ejected and stalled replicas, unless no other is left."""
        healthy = self.ejection.without_ejected(drawn)
        active = [
            target
            for target in healthy
            if not self.stalls.is_stalled(target.incarnation, request.model)
        ]
        return active or healthy

    def _eligible_heads(self, request: RoutingRequest) -> Sequence[ServingHead]:
        heads = self._fleet.heads(request.service, request.model)
        if not request.tried and not request.avoided:
            return heads
        return _eligible(heads, request)

    def _replica_state(
        self, head: ServingHead, request: RoutingRequest
    ) -> ReplicaState:
        return ReplicaState(
            head.id,
            self.load(head.id),
            self.in_flight.deferred[head.id],
            self._forecast_error(head.incarnation, request.model),
            head.head.failure_domain == self._failure_domain,
            self.paces.pace(head.incarnation, request.model),
        )

    def _forecast_error(self, incarnation: Incarnation, model: str) -> float:
        if self.paces.is_enabled:
            # The pace explains how a replica differs from the others.
            return self.forecast_errors.expected_of_model(model)
        return self.forecast_errors.expected(incarnation, model, self._clock())

    def _no_replica(self, request: RoutingRequest) -> NoReplicaError:
        evacuated = self.evacuations.active()
        is_forming = self._fleet.replica_records.is_starting(
            request.service, request.model, evacuated
        )
        expected_seconds = (
            _FORMING_SECONDS if is_forming else _NO_REPLICA_SECONDS
        )
        return NoReplicaError(
            f'no complete replica of {request.model!r} is serving'
            f'{_evacuated_text(evacuated)}',
            retry_after=_retry_after(self._random, request, expected_seconds),
        )

    def _choose_instance(self, request: RoutingRequest) -> Target:
        available = _eligible(self._fleet.available(request.service), request)
        if not available:
            raise NoReplicaError(
                f'no instance of {request.service!r} is serving'
                f'{_evacuated_text(self.evacuations.active())}',
                retry_after=_NO_REPLICA_SECONDS,
            )
        eligible = reached_targets(available, self.paths, request)
        instances = available_targets(
            eligible,
            self.throttle,
            request.rank,
            functools.partial(_retry_after, self._random, request),
        )
        healthy = self.ejection.without_ejected(instances)
        choice = min(healthy, key=self._load_then_random)
        if _is_full(choice, self.load(choice.id)):
            # An ejected instance may work again; the others would refuse.
            choice = min(instances, key=self._load_then_random)
        load = self.load(choice.id)
        if _is_full(choice, load):
            raise OverloadedError(
                f'all instances are full; the least loaded has {load} requests',
                retry_after=_retry_after(self._random, request, _BUSY_SECONDS),
            )
        self.throttle.record_sent(choice.incarnation)
        return Target(
            choice,
            None,
            load,
            'fewest in flight',
            self._clock(),
            throttled=len(eligible) - len(instances),
        )

    def _load_then_random(self, target: ListedInstance) -> tuple[int, float]:
        return self.load(target.id), self._random.random()


def _evacuated_text(evacuated: Collection[str]) -> str:
    return f' outside of evacuated {sorted(evacuated)}' if evacuated else ''


def _dispatch_request(
    request: RoutingRequest,
    engine: EngineProfile,
    model: EngineModel,
    planned: PlannedAdmission,
    completion_interval: float,
) -> DispatchRequest:
    return DispatchRequest(
        request.route,
        engine,
        model,
        request.prompt_tokens,
        request.elapsed_seconds,
        request.remaining_seconds,
        completion_interval,
        request.was_refused,
        request.is_resumed,
        planned.admission,
        planned.passed_fraction(request.rank),
    )


def _sample(
    source: random.Random,
    failure_domain: str,
    heads: Sequence[ServingHead],
) -> Sequence[ServingHead]:
    """Sample replicas to decide between, local and remote ones."""
    local: list[ServingHead] = []
    remote: list[ServingHead] = []
    for target in heads:
        is_local = target.head.failure_domain == failure_domain
        (local if is_local else remote).append(target)
    return [
        head
        for side in (local, remote)
        for head in source.sample(side, min(_SAMPLE_SIZE, len(side)))
    ]


def _retry_after(
    source: random.Random,
    request: RoutingRequest,
    expected_seconds: float,
) -> float:
    """Return the seconds until a refused client should retry, with jitter."""
    return spread_retry_after(
        expected_seconds, request.remaining_seconds, source.random()
    )


def _targets(
    fleet: Fleet,
    config: RouteConfig,
    service: str,
    model: str,
) -> Sequence[ServingHead | ListedInstance]:
    if config.engine(service) is None:
        return fleet.available(service)
    return fleet.heads(service, model)


def _is_full(instance: ListedInstance, load: int) -> bool:
    return load >= instance.slots * (1 + _QUEUE_PER_SLOT)


def _eligible(
    targets: Sequence[TargetT], request: RoutingRequest
) -> list[TargetT]:
    """Leave out tried targets and, if others remain, avoided ones."""
    untried = [target for target in targets if target.id not in request.tried]
    preferred = [
        target for target in untried if target.id not in request.avoided
    ]
    return preferred or untried
