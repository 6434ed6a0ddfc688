"""What one node does with 1,095 instances, in milliseconds of one core.

The sizes are those of the users' large deployment: fifteen fabric domains of 73
in five failure domains, models of 32 and 8 members, a plain service of five.
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

_FABRICS = 15
_FABRIC_SIZE = 73
_FABRICS_A_DOMAIN = 3
_LARGE = EngineModel('large', 32, 1.0, 0.5, 16, 1.6)
_SMALL = EngineModel('small', 8, 0.6, 0.5, 12, 1.1)
_ENGINES = 'engines'
_PLAIN = 'plain'
_PLAIN_INSTANCES = 5
_ENGINE = EngineProfile((_LARGE, _SMALL), 11, 0.3, 91, 1, 136)
_PROFILE = ServiceProfile(_ENGINES, _ENGINE)
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
            shares=(Share(_ENGINES, 1),),
        ),
    ),
    {_ENGINES: _PROFILE, _PLAIN: ServiceProfile(_PLAIN)},
)
_DEMAND = (('large', 4.0), ('small', 30.0))
_TURNS = 60
_MILLISECONDS = 1000
_ADDRESS = Address('127.0.0.1', 1)


def measure() -> dict[str, float]:
    """Return the median time of each step, by its name."""
    size = _Size()
    return {
        'change_of_the_list_ms': _time(size.change),
        'judging_own_records_ms': _time(size.judge),
        'looking_for_witnesses_ms': _time(size.reference_instances),
        'first_plan_ms': _time(size.plan_first, 5),
        'plan_after_a_loss_ms': _time(size.plan_loss, 10),
        'missing_member_ms': _time(size.missing),
        'choice_of_a_plain_target_ms': _time(size.choose_plain),
        'choice_of_a_replica_ms': _time(size.choose_head),
    }


def _time(step: Callable[[], object], turns: int = _TURNS) -> float:
    took = []
    for _turn in range(turns):
        started = time.perf_counter()
        step()
        took.append(time.perf_counter() - started)
    return round(median(took) * _MILLISECONDS, 4)


@attrs.define
class _Size:
    """A fleet of that size, whose replicas all serve."""

    fleet: Fleet = attrs.field(factory=Fleet, init=False)
    router: TargetRouter = attrs.field(init=False)
    failure_detector: FailureDetector = attrs.field(init=False)
    own: Sequence[ReplicaRecord] = attrs.field(init=False)
    _turn: Iterator[str] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """List the instances and record the replicas."""
        instances = {
            one.id: one for fabric in range(_FABRICS) for one in _fabric(fabric)
        }
        records = [
            record for fabric in range(_FABRICS) for record in _records(fabric)
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
                f'p{number}', _PLAIN, _ADDRESS, 'd0', 6
            )
            for number in range(_PLAIN_INSTANCES)
        }
        self.fleet.apply_instances({**instances, **plain}, True)
        self.fleet.apply_records({one.key: one for one in records}, True)
        self.own = [one for one in records if one.failure_domain == 'd0']
        self.router = TargetRouter(
            self.fleet,
            random.Random(1),
            lambda _name: 0,
            DemandMeter().mean_seconds,
            'd0',
        )
        self.failure_detector = FailureDetector(self.fleet, _nobody)
        self._turn = itertools.cycle(instances)

    def change(self) -> object:
        """Take over a member's entry, and look at who serves."""
        one = self.fleet.instances[next(self._turn)]
        self.fleet.apply_instances({one.id: one}, False)
        return self.fleet.heads(_ENGINES, 'small')

    def judge(self) -> object:
        """Judge all replicas of a failure domain."""
        lost = self.failure_detector.lost_instances()
        return [
            required_transition(one, self.fleet, lost, _CONFIG)
            for one in self.own
        ]

    def reference_instances(self) -> object:
        """Look for instances to ask where no member answers."""
        return self.failure_detector._reference_instances(self.own[0])

    def missing(self) -> object:
        """Look whether each member of a large replica is bound elsewhere."""
        return [
            any(
                record.key != self.own[0].key
                for record in self.fleet.replica_records.records_with_member(
                    name
                )
            )
            for name in self.own[0].members
        ]

    def plan_first(self) -> object:
        """Divide everything, before any request."""
        free = tuple(
            attrs.evolve(one, membership=None, loaded=(), staged=())
            for one in self.fleet.instances.values()
            if one.service == _ENGINES
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

    def plan_loss(self) -> object:
        """Divide what is left of a large replica in one failure domain."""
        free = tuple(
            self.fleet.instances[name] for name in self.own[0].members[:28]
        )
        replica_counts = {'large': 14.0, 'small': 76.0}
        plan_input = PlanInput(
            _PROFILE,
            free,
            replica_counts,
            {},
            dict(_DEMAND),
            instance_count=_FABRICS * _FABRIC_SIZE,
        )
        return plan(plan_input, PreemptionScope.WITH_FREE_INSTANCES)

    def choose_plain(self) -> object:
        """Choose an instance of the plain service."""
        return self.router.choose(
            RoutingRequest(_CONFIG, _CONFIG.routes[0], _PLAIN, '', 0, 1)
        )

    def choose_head(self) -> object:
        """Choose a replica of the smaller model."""
        return self.router.choose(
            RoutingRequest(
                _CONFIG, _CONFIG.routes[0], _ENGINES, 'small', 700, 5
            )
        )


def _fabric(number: int) -> list[ListedInstance]:
    domain = f'd{number // _FABRICS_A_DOMAIN}'
    return [
        ListedInstance(
            f'i{number:02}-{place:02}',
            _ENGINES,
            _ADDRESS,
            domain,
            11,
            fabric_domain=f'f{number:02}',
        )
        for place in range(_FABRIC_SIZE)
    ]


def _records(number: int) -> list[ReplicaRecord]:
    names = [one.id for one in _fabric(number)]
    sizes = [('large', 32), *(('small', 8) for _turn in range(5))]
    found = []
    for place, (model, size) in enumerate(sizes):
        members, names = tuple(names[:size]), names[size:]
        found.append(
            ReplicaRecord(
                f'f{number:02}-{place}',
                1,
                _ENGINES,
                model,
                f'd{number // _FABRICS_A_DOMAIN}',
                f'f{number:02}',
                members,
            ),
        )
    return found


async def _nobody(_record: ReplicaRecord) -> None:
    """Stand for whoever is told of a replica that lost a member."""
