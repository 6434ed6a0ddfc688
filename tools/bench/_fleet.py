"""Processor time of node operations with 1,095 instances.

The sizes are those of the users' large deployment: 15 fabric domains of 73
instances in 5 failure domains, models with 32 and 8 members, a plain service
with 5.
"""

import itertools
import random
import time
from collections.abc import Callable, Iterator, Sequence
from statistics import median

import attrs

from cranecart.demand import DemandMeter
from cranecart.fleet import Fleet, ReplicaRecord
from cranecart.grouping._failure_detector import FailureDetector
from cranecart.grouping._plan import plan
from cranecart.grouping._plan_types import PlanInput
from cranecart.grouping._preemption import PreemptionScope
from cranecart.grouping._transitions import required_transition
from cranecart.http import Address
from cranecart.models import (
    EngineModel,
    EngineProfile,
    Route,
    RouteConfig,
    ServiceProfile,
    Share,
)
from cranecart.ports import ListedInstance, MemberPhase, Membership
from cranecart.routing import RoutingRequest, TargetRouter

_FABRIC_DOMAINS = 15
_FABRIC_DOMAIN_SIZE = 73
_FABRICS_PER_FAILURE_DOMAIN = 3
_LARGE = EngineModel('large', 32, 1.0, 0.5, 16, 1.6)
_SMALL = EngineModel('small', 8, 0.6, 0.5, 12, 1.1)
_ENGINE_SERVICE = 'engines'
_PLAIN_SERVICE = 'plain'
_PLAIN_INSTANCES = 5
_ENGINE = EngineProfile((_LARGE, _SMALL), 11, 0.3, 91, 1, 136)
_PROFILE = ServiceProfile(_ENGINE_SERVICE, _ENGINE)
_CONFIG = RouteConfig(
    1,
    (
        Route(
            name='r',
            host='a.example',
            prefix='/',
            repeatable=True,
            streaming=True,
            resumable=True,
            timeout_seconds=6,
            objective_seconds=0.25,
            pause_seconds=0.2,
            rank=1,
            attempts=2,
            public=True,
            shares=(Share(_ENGINE_SERVICE, 1),),
        ),
    ),
    {_ENGINE_SERVICE: _PROFILE, _PLAIN_SERVICE: ServiceProfile(_PLAIN_SERVICE)},
)
_DEMAND = (('large', 4.0), ('small', 30.0))
_REPETITIONS = 60
_MILLISECONDS = 1000
_ADDRESS = Address('127.0.0.1', 1)


def measure() -> dict[str, float]:
    """Return the median time of each operation in milliseconds."""
    fleet = _LargeFleet()
    return {
        'change_of_the_list_ms': _median_ms(fleet.apply_entry_change),
        'judging_own_records_ms': _median_ms(fleet.find_transitions),
        'looking_for_witnesses_ms': _median_ms(fleet.reference_instances),
        'first_plan_ms': _median_ms(fleet.plan_initially, 5),
        'plan_after_a_loss_ms': _median_ms(fleet.plan_after_loss, 10),
        'missing_member_ms': _median_ms(fleet.find_reassigned_members),
        'choice_of_a_plain_target_ms': _median_ms(fleet.choose_plain_instance),
        'choice_of_a_replica_ms': _median_ms(fleet.choose_replica),
    }


def _median_ms(
    step: Callable[[], object], repetitions: int = _REPETITIONS
) -> float:
    durations = []
    for _repetition in range(repetitions):
        started = time.perf_counter()
        step()
        durations.append(time.perf_counter() - started)
    return round(median(durations) * _MILLISECONDS, 4)


@attrs.define
class _LargeFleet:
    """A fleet of this size in which all replicas serve."""

    fleet: Fleet = attrs.field(factory=Fleet, init=False)
    router: TargetRouter = attrs.field(init=False)
    failure_detector: FailureDetector = attrs.field(init=False)
    own_records: Sequence[ReplicaRecord] = attrs.field(init=False)
    _instance_names: Iterator[str] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """List the instances and record the replicas."""
        instances = {
            instance.id: instance
            for fabric in range(_FABRIC_DOMAINS)
            for instance in _fabric_instances(fabric)
        }
        records = [
            record
            for fabric in range(_FABRIC_DOMAINS)
            for record in _replica_records(fabric)
        ]
        for record in records:
            for rank, name in enumerate(record.members):
                phase = MemberPhase.READY if rank else MemberPhase.OPEN
                instances[name] = attrs.evolve(
                    instances[name],
                    loaded=(record.model,),
                    staged=('small' if record.model == 'large' else 'large',),
                    membership=Membership(record.name, 1, rank, phase),
                )
        plain = {
            f'p{number}': ListedInstance(
                f'p{number}', _PLAIN_SERVICE, _ADDRESS, 'd0', 6
            )
            for number in range(_PLAIN_INSTANCES)
        }
        self.fleet.apply_instances({**instances, **plain}, True)
        self.fleet.apply_records(
            {record.key: record for record in records}, True
        )
        self.own_records = [
            record for record in records if record.failure_domain == 'd0'
        ]
        self.router = TargetRouter(
            self.fleet,
            random.Random(1),
            lambda _name: 0,
            DemandMeter().mean_seconds,
            'd0',
        )
        self.failure_detector = FailureDetector(self.fleet, _ignore_report)
        self._instance_names = itertools.cycle(instances)

    def apply_entry_change(self) -> object:
        """Apply the list entry of a member and find the serving replicas."""
        instance = self.fleet.instances[next(self._instance_names)]
        self.fleet.apply_instances({instance.id: instance}, False)
        return self.fleet.heads(_ENGINE_SERVICE, 'small')

    def find_transitions(self) -> object:
        """Evaluate the required transitions of one failure domain."""
        lost = self.failure_detector.lost_instances()
        return [
            required_transition(record, self.fleet, lost, _CONFIG)
            for record in self.own_records
        ]

    def reference_instances(self) -> object:
        """Select reference instances to check when no member responds."""
        return self.failure_detector._reference_instances(self.own_records[0])

    def find_reassigned_members(self) -> object:
        """Check whether members of a large replica belong to another one."""
        return [
            any(
                record.key != self.own_records[0].key
                for record in self.fleet.replica_records.records_with_member(
                    name
                )
            )
            for name in self.own_records[0].members
        ]

    def plan_initially(self) -> object:
        """Plan all instances before the first request."""
        free = tuple(
            attrs.evolve(instance, membership=None, loaded=(), staged=())
            for instance in self.fleet.instances.values()
            if instance.service == _ENGINE_SERVICE
        )
        plan_input = PlanInput(
            _PROFILE,
            free,
            {},
            {},
            {},
            load_time_factor=0.1,
            instance_count=len(free),
        )
        return plan(plan_input)

    def plan_after_loss(self) -> object:
        """Plan the remaining instances of a large replica after a loss."""
        free = tuple(
            self.fleet.instances[name]
            for name in self.own_records[0].members[:28]
        )
        replica_counts = {'large': 14.0, 'small': 76.0}
        plan_input = PlanInput(
            _PROFILE,
            free,
            replica_counts,
            {},
            dict(_DEMAND),
            instance_count=_FABRIC_DOMAINS * _FABRIC_DOMAIN_SIZE,
        )
        return plan(plan_input, PreemptionScope.WITH_FREE_INSTANCES)

    def choose_plain_instance(self) -> object:
        """Route a request to an instance of the plain service."""
        return self.router.choose(
            RoutingRequest(_CONFIG, _CONFIG.routes[0], _PLAIN_SERVICE, '', 0, 1)
        )

    def choose_replica(self) -> object:
        """Route a request to a replica of the small model."""
        return self.router.choose(
            RoutingRequest(
                _CONFIG, _CONFIG.routes[0], _ENGINE_SERVICE, 'small', 700, 5
            )
        )


def _fabric_instances(number: int) -> list[ListedInstance]:
    domain = f'd{number // _FABRICS_PER_FAILURE_DOMAIN}'
    return [
        ListedInstance(
            f'i{number:02}-{place:02}',
            _ENGINE_SERVICE,
            _ADDRESS,
            domain,
            11,
            fabric_domain=f'f{number:02}',
        )
        for place in range(_FABRIC_DOMAIN_SIZE)
    ]


def _replica_records(number: int) -> list[ReplicaRecord]:
    names = [instance.id for instance in _fabric_instances(number)]
    sizes = [('large', 32), *(('small', 8) for _repetition in range(5))]
    records = []
    for place, (model, size) in enumerate(sizes):
        members, names = tuple(names[:size]), names[size:]
        records.append(
            ReplicaRecord(
                f'f{number:02}-{place}',
                1,
                _ENGINE_SERVICE,
                model,
                f'd{number // _FABRICS_PER_FAILURE_DOMAIN}',
                f'f{number:02}',
                members,
            ),
        )
    return records


async def _ignore_report(_record: ReplicaRecord) -> None:
    """Ignore the report of a replica that lost a member."""
