"""Simulate engines and nodes with a policy under a workload."""

import functools
import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Sequence

import attrs

from cranecart.dispatch import Refuse, Send
from cranecart.mesh import SlowTargetReports
from cranecart.simulation._engine import Engine, SimulatedRequest
from cranecart.simulation._policies import Policy
from cranecart.simulation._result import Outcome, Result
from cranecart.simulation._workload import (
    ReplicaCrash,
    Slowdown,
    Workload,
)

# Time from sending a request to its first event, without the engine's passes.
_NETWORK_SECONDS = 0.12
# Nodes share their request counts at each heartbeat.
_HEARTBEAT_SECONDS = 0.25
# Streams of a crashed replica are resumed on another one after this time.
_FAILOVER_SECONDS = 0.15
# Up to this many nodes exchange reports directly, more by relays.
_FULL_MESH_NODES = 16
_DOMAINS = 3
_DEFERRED_RANK = 5
_MIN_CLIENT_TIMEOUT_SECONDS = 2.0
# Retry time for clients while a model has no replica.
_NO_REPLICA_RETRY_SECONDS = 0.6
# Clients honour a retry time of up to a third of their remaining time, and give
# up if it is longer.
_MAX_RETRY_FRACTION = 1 / 3
_IMPATIENT_RETRIES = 3
_IMPATIENT_RETRY_SECONDS = 0.02

# Time, sequence number for events at the same time, and callback.
_Event = tuple[float, int, Callable[[], None]]


@attrs.define(eq=False)
class _Node:
    policy: Policy
    in_flight: Counter[str] = attrs.field(factory=Counter)
    deferred: Counter[str] = attrs.field(factory=Counter)
    shared_counts: Counter[str] = attrs.field(factory=Counter)


@attrs.define(eq=False)
class _Assignment:
    node: _Node
    engine: Engine
    log_decision: Send
    sent_at: float
    has_started: bool = False

    def counter(self) -> Counter[str]:
        is_deferred = self.log_decision.is_deferred and not self.has_started
        return self.node.deferred if is_deferred else self.node.in_flight

    def mark_started(self) -> None:
        """Count the request as running, no longer as deferred."""
        self.counter()[self.engine.name] -= 1
        self.has_started = True
        self.counter()[self.engine.name] += 1


class Simulation:
    """Engines, nodes and the queue of future events."""

    def __init__(
        self,
        engines: Sequence[Engine],
        policies: Sequence[Policy],
        *,
        shares_counts: bool = True,
    ) -> None:
        """Start at time 0, with one node for each policy."""
        self.result = Result()
        self._engines = list(engines)
        self._nodes = [_Node(policy) for policy in policies]
        self._shares_counts = shares_counts
        self._shared_counts = Counter[str]()
        self._relays = [SlowTargetReports() for _domain in range(_DOMAINS)]
        self._assignments: dict[SimulatedRequest, _Assignment] = {}
        self._now = float(0)
        self._numbers = itertools.count()
        self._events: list[_Event] = []

    def run(
        self,
        requests: Sequence[SimulatedRequest],
        faults: Sequence[ReplicaCrash | Slowdown],
    ) -> Result:
        """Run until all requests have ended."""
        for request in requests:
            self._schedule(
                request.arrived_at, functools.partial(self._arrive, request)
            )
        for fault in faults:
            self._schedule_fault(fault)
        if self._shares_counts:
            self._schedule(0, self._exchange_counts)
        self._remaining = len(requests)
        while self._events and self._remaining > 0:
            event = heapq.heappop(self._events)
            self._now = event[0]
            event[2]()
        return self.result

    def _schedule(self, when: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), callback))

    def _schedule_fault(self, fault: ReplicaCrash | Slowdown) -> None:
        match fault:
            case ReplicaCrash():
                self._schedule(fault.at, functools.partial(self._crash, fault))
            case Slowdown():
                slow_down = functools.partial(self._slow_down, fault.engine)
                self._schedule(
                    fault.at, functools.partial(slow_down, fault.factor)
                )
                self._schedule(
                    fault.at + fault.seconds, functools.partial(slow_down, 1)
                )

    def _exchange_counts(self) -> None:
        self._shared_counts = Counter()
        for node in self._nodes:
            node.shared_counts = node.in_flight.copy()
            self._shared_counts.update(node.shared_counts)
        self._exchange_reports()
        self._schedule(self._now + _HEARTBEAT_SECONDS, self._exchange_counts)

    def _slow_down(self, number: int, factor: float) -> None:
        self._engines[number].slowness = factor

    def _exchange_reports(self) -> None:
        """Exchange reports directly, or as sums of the failure domains."""
        reports = [node.policy.report(self._now) for node in self._nodes]
        is_relayed = len(reports) > _FULL_MESH_NODES
        if is_relayed:
            reports = [
                relay.merge(reports[number :: len(self._relays)])
                for number, relay in enumerate(self._relays)
            ]
        for (sender, report), (number, node) in itertools.product(
            enumerate(reports), enumerate(self._nodes)
        ):
            if is_relayed or number != sender:
                node.policy.merge(str(sender), report, self._now)

    def _arrive(self, request: SimulatedRequest) -> None:
        node = self._nodes[request.node]
        engines = [
            candidate
            for candidate in self._engines
            if candidate.model is request.model
            and not candidate.is_dead
            and candidate.ready_at <= self._now
        ]
        if not engines:
            self._refuse(request, _NO_REPLICA_RETRY_SECONDS)
            return
        decision = node.policy.choose(
            request,
            engines,
            self._known_in_flight(node),
            node.deferred,
            self._now,
        )
        if isinstance(decision, Refuse):
            self._refuse(request, decision.excess_seconds)
            return
        engine = next(
            candidate
            for candidate in engines
            if candidate.name == decision.name
        )
        self._send(request, _Assignment(node, engine, decision, self._now))

    def _known_in_flight(self, node: _Node) -> Counter[str]:
        """Return the in-flight counts that a node has received or made."""
        in_flight = node.in_flight.copy()
        in_flight.update(self._shared_counts)
        in_flight.subtract(node.shared_counts)
        return in_flight

    def _send(self, request: SimulatedRequest, assignment: _Assignment) -> None:
        self._assignments[request] = assignment
        assignment.counter()[assignment.engine.name] += 1
        is_deferred = assignment.log_decision.is_deferred
        penalty = _DEFERRED_RANK if is_deferred else 0
        assignment.engine.enqueue(request, request.route.rank + penalty)
        self._begin_pass(assignment.engine)
        if request.first_event_at is None:
            timeout = max(
                _MIN_CLIENT_TIMEOUT_SECONDS,
                4 * request.route.objective_seconds,
            )
            self._schedule(
                self._now + timeout, lambda: self._abandon(request, assignment)
            )

    def _refuse(self, request: SimulatedRequest, seconds: float) -> None:
        request.refusals += 1
        if request.is_impatient and request.refusals <= _IMPATIENT_RETRIES:
            self._schedule(
                self._now + _IMPATIENT_RETRY_SECONDS,
                lambda: self._arrive(request),
            )
            return
        remaining = request.remaining_seconds(self._now)
        if (
            request.is_retry
            or request.is_impatient
            or request.first_event_at is not None
            or seconds > _MAX_RETRY_FRACTION * remaining
        ):
            self._finish(request, Outcome.REFUSED)
            return
        request.is_retry = True
        self._schedule(self._now + seconds, lambda: self._arrive(request))

    def _abandon(
        self, request: SimulatedRequest, assignment: _Assignment
    ) -> None:
        if (
            request.first_event_at is None
            and self._assignments.get(request) is assignment
        ):
            self._finish(request, Outcome.ABANDONED)

    def _begin_pass(self, engine: Engine) -> None:
        if engine.is_in_pass or engine.is_dead:
            return
        seconds = engine.begin_pass()
        if seconds is not None:
            engine.is_in_pass = True
            self._schedule(self._now + seconds, lambda: self._end_pass(engine))

    def _end_pass(self, engine: Engine) -> None:
        engine.is_in_pass = False
        if engine.is_dead:
            return
        for request in engine.active:
            self._record_first_event(request)
            self._record_gap(request)
        for request in engine.end_pass(self._now + _NETWORK_SECONDS):
            self.result.record_answered(request)
            self._remove(request)
        self._begin_pass(engine)

    def _record_first_event(self, request: SimulatedRequest) -> None:
        assignment = self._assignments.get(request)
        if assignment is None or assignment.has_started:
            return
        seconds = self._now + _NETWORK_SECONDS - assignment.sent_at
        assignment.mark_started()
        if request.first_event_at is None:
            assignment.node.policy.record_first_event(
                request, assignment.log_decision, seconds, self._now
            )

    def _record_gap(self, request: SimulatedRequest) -> None:
        assignment = self._assignments.get(request)
        if assignment is not None and request.first_event_at is not None:
            gap = self._now + _NETWORK_SECONDS - request.last_event_at
            assignment.node.policy.record_gap(
                request, assignment.engine, gap, self._now
            )

    def _crash(self, crash: ReplicaCrash) -> None:
        engine = self._engines[crash.engine]
        if engine.is_dead:
            return
        interrupted = engine.requests()
        engine.is_dead = True
        for request in interrupted:
            assignment = self._assignments.pop(request)
            assignment.counter()[engine.name] -= 1
            self._schedule(
                self._now + _FAILOVER_SECONDS,
                functools.partial(self._arrive, request),
            )
        self._engines[crash.engine] = Engine(
            f'{engine.name}+',
            engine.model,
            engine.profile,
            self._now + crash.seconds,
        )

    def _finish(self, request: SimulatedRequest, outcome: Outcome) -> None:
        self.result.record(request, outcome)
        self._remove(request)

    def _remove(self, request: SimulatedRequest) -> None:
        request.is_done = True
        self._remaining -= 1
        assignment = self._assignments.pop(request, None)
        if assignment is not None:
            assignment.counter()[assignment.engine.name] -= 1


def simulate(
    engines: Sequence[Engine],
    policies: Sequence[Policy],
    workloads: Sequence[Workload],
    seconds: float,
    rng: random.Random,
    faults: Sequence[ReplicaCrash | Slowdown] = (),
) -> Result:
    """Generate the requests of the workloads and simulate them."""
    requests = [
        request
        for workload in workloads
        for request in workload.arrivals(rng, seconds, len(policies))
    ]
    return Simulation(engines, policies).run(requests, faults)
