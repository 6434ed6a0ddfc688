"""Collect the instances, replicas and loads that a plan is based on."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping

import attrs

from cranecart.fleet import Fleet, RecordState, ReplicaRecord
from cranecart.grouping._environment import never_cold
from cranecart.grouping._failure_detector import FailureDetector
from cranecart.grouping._member_selection import discount
from cranecart.grouping._orphans import OrphanedReplicas
from cranecart.grouping._plan_types import PlanInput, ServingMember
from cranecart.grouping._preemption import DRAIN_SECONDS
from cranecart.grouping._stager import Stager
from cranecart.models import ServiceProfile
from cranecart.ports import Incarnation, ListedInstance

# Before the first request, loads take this fraction of their usual time.
_STARTUP_LOAD_TIME_FACTOR = 0.1


@attrs.frozen
class Inventory:
    """One failure domain's instances, and all replicas of the deployment."""

    _failure_domain: str
    _fleet: Fleet
    _failure_detector: FailureDetector
    _stager: Stager
    _orphans: OrphanedReplicas
    _demand: Callable[[], Mapping[str, float]]
    _has_traffic: Callable[[], bool]
    _stall_seconds: float
    _cold_seconds: Callable[[Incarnation], float] = never_cold

    def plan_input(self, profile: ServiceProfile) -> PlanInput:
        """Return the input for planning a service.

        Replicas in evacuated failure domains are no capacity, so that the other
        domains compensate for them. If the own one is evacuated, the input has
        neither free instances nor members, so that the plan is empty.
        """
        fixed = self._fixed_replicas()
        serving = [
            record
            for record in fixed
            if record.service == profile.name and self._is_capacity(record)
        ]
        replica_counts: dict[str, float] = defaultdict(float)
        for record in serving:
            replica_counts[record.model] += self._discounted(profile, record)
        fabric_replica_counts = Counter(
            (record.fabric_domain, record.model) for record in serving
        )
        free = tuple(self._free(profile.name, fixed))
        return PlanInput(
            profile,
            free,
            replica_counts,
            fabric_replica_counts,
            self._demand(),
            tuple(self._members(serving)),
            self._stager.pending_models(self._fleet.instances),
            dict(self._release_delays()),
            1 if self._has_traffic() else _STARTUP_LOAD_TIME_FACTOR,
            sum(
                1
                for _instance in self._fleet.instance_list.all_of_service(
                    profile.name
                )
            ),
        )

    def loads_in_progress(self) -> int:
        """Return how many loads from the weight store are in progress.

        Loads of members are counted from the records of all placers; stagings
        are known only to the placer that ordered them. Formations in evacuated
        failure domains pause and are not counted, as they may last for long.
        """
        joining = sum(
            record.loads
            for record in self._serving()
            if self._is_capacity(record) and not self._fleet.is_open(record)
        )
        return joining + len(self._stager.pending_models(self._fleet.instances))

    def assigned_instances(self) -> frozenset[str]:
        """Return the members of all replicas, including those that are ending.

        A join makes an instance leave its replica, which must not happen before
        the head of that replica has ended.
        """
        return self._orphans.members().union(
            name
            for record in self._fleet.records.values()
            for name in record.members
        )

    def is_own(self, instance: ListedInstance) -> bool:
        """Return whether this placer sends orders to an instance."""
        return instance.failure_domain == self._failure_domain

    def _is_capacity(self, record: ReplicaRecord) -> bool:
        evacuations = self._fleet.evacuations
        return not evacuations.is_evacuated(record.failure_domain)

    def _may_plan(self, failure_domain: str) -> bool:
        if self._fleet.evacuations.is_evacuated(failure_domain):
            return False
        is_own = failure_domain == self._failure_domain
        return is_own or not self._has_traffic()

    def _discounted(
        self, profile: ServiceProfile, record: ReplicaRecord
    ) -> float:
        """Return a replica's weight: less than 1 while it is loading or cold."""
        engine = profile.engine
        model = None if engine is None else engine.model(record.model)
        head = self._fleet.find_instance(record.head)
        if head is not None and self._fleet.is_open(record):
            return discount(self._cold_seconds(head.incarnation))
        if model is None or not record.loads:
            return 1
        return discount(model.load_seconds)

    def _release_delays(self) -> Iterator[tuple[str, float]]:
        """Yield members that will be released, and after how many seconds."""
        for record in self._fleet.records.values():
            if record.state is RecordState.SERVING:
                continue
            wait = DRAIN_SECONDS
            if record.head in self._failure_detector.lost_instances():
                wait = self._stall_seconds
            yield from ((name, wait) for name in record.members)

    def _fixed_replicas(self) -> tuple[ReplicaRecord, ...]:
        """Return the replicas that a plan takes as given.

        There are none in a placer's first plan: what other placers have formed
        by then belongs to the same allocation that is being planned. Taking it
        as given, two of three placers formed 3 and 10 replicas where 6 and 8
        were best.
        """
        serving = tuple(self._serving())
        has_own_replicas = any(
            record.failure_domain == self._failure_domain for record in serving
        )
        return serving if has_own_replicas or self._has_traffic() else ()

    def _serving(self) -> Iterator[ReplicaRecord]:
        return (
            record
            for record in self._fleet.records.values()
            if record.state is RecordState.SERVING
        )

    def _members(
        self,
        serving: Iterable[ReplicaRecord],
    ) -> Iterator[ServingMember]:
        """Yield the domain's serving members that are not leaving."""
        return (
            ServingMember(instance, record.name, record.model)
            for record in serving
            if record.failure_domain == self._failure_domain
            and self._fleet.is_open(record)
            for instance in map(self._fleet.instances.get, record.members)
            if instance is not None and not instance.leaving
        )

    def _free(
        self,
        service: str,
        fixed: Iterable[ReplicaRecord],
    ) -> Iterator[ListedInstance]:
        """Yield the unused instances, including those about to be released.

        Before traffic starts, these are the instances of all failure domains:
        all placers plan the whole deployment from the same input at the same
        time, and each forms its own part. When three placers planned only for
        themselves, the large model got 9 replicas and the small one 6, where 8
        and 8 were best.
        """
        used = {name for record in fixed for name in record.members}
        used.update(self._failure_detector.lost_instances())
        used.update(self._orphans.members())
        return (
            instance
            for instance in self._fleet.instance_list.all_of_service(service)
            if instance.id not in used
            and self._may_plan(instance.failure_domain)
            and not instance.leaving
        )
