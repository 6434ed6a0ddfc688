"""Simulate a deployment that is placed by plans, in simulated time.

Instances fail and return with the models staged on their hosts; replicas that
lose a member end, and the survivors are allocated again. There is no I/O:
orders take effect at once, and their durations follow from the models' declared
times.
"""

import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Iterator, Mapping, Sequence

import attrs

from cranecart.fleet import ReplicaRecord
from cranecart.grouping._member_selection import discount
from cranecart.grouping._plan import plan
from cranecart.grouping._plan_types import (
    NewReplica,
    Plan,
    PlanInput,
    ServingMember,
    Staging,
    models_of,
)
from cranecart.grouping._preemption import (
    DRAIN_SECONDS,
    PREEMPTION_REASON,
    PreemptionCooldown,
)
from cranecart.http import Address
from cranecart.models import EngineModel, EngineProfile, ServiceProfile
from cranecart.ports import ListedInstance
from tests.lib.fake_engines import SERVICE, listed_instance

# Interval between plans of a placer, about what a small node achieves.
_TICK_SECONDS = 0.1
# Time until the nodes detect a failure, and until a head without a member is
# broken.
_DETECTION_SECONDS = 0.5
_STALL_SECONDS = 4.3
_FABRICS_PER_PLACER = 2
_ADDRESS = Address('127.0.0.1', 1)


@attrs.frozen
class SimulationLayout:
    """The fabric domains, models and demand of a simulated deployment.

    ``demand`` is in replicas of each model.
    """

    fabrics: int
    fabric_size: int
    models: tuple[EngineModel, ...]
    demand: Mapping[str, float]
    loads_per_second: float = 5

    @property
    def profile(self) -> ServiceProfile:
        """Return the service that all instances belong to."""
        engine = EngineProfile(self.models, 15, 0.3, self.loads_per_second, 1)
        return ServiceProfile(SERVICE, engine)


@attrs.define
class _Replica:
    model: str
    members: tuple[ListedInstance, ...]
    opens_at: float
    loads: int


@attrs.define
class _ReleasedMembers:
    """Members of an ended replica, and when they are free."""

    members: tuple[ListedInstance, ...]
    free_at: float
    record: ReplicaRecord | None = None


class SimulatedDeployment:
    """Instances, replicas and placers; ``now`` is in seconds.

    ``demand`` is how many replicas of each model the requests fill.
    """

    def __init__(self, layout: SimulationLayout, source: random.Random) -> None:
        """Allocate all instances before the first request, as placers do."""
        self.now: float = 0
        self.demand = layout.demand
        self.replicas: dict[str, _Replica] = {}
        self._layout = layout
        self._source = source
        self._numbers = itertools.count()
        self._free: dict[str, ListedInstance] = {}
        self._released: list[_ReleasedMembers] = []
        self._pending_returns: list[tuple[float, ListedInstance]] = []
        self._stagings: dict[str, tuple[float, str]] = {}
        self._loads = layout.loads_per_second
        placers = -(-layout.fabrics // _FABRICS_PER_PLACER)
        self._cooldowns = [
            PreemptionCooldown(self._clock) for _placer in range(placers)
        ]
        for fabric in range(layout.fabrics):
            for _instance in range(layout.fabric_size):
                self._add(self._new(f'f{fabric}'))
        started = plan(
            PlanInput(
                layout.profile,
                tuple(self._free.values()),
                {},
                {},
                {},
                load_time_factor=0.1,
                instance_count=layout.fabrics * layout.fabric_size,
            ),
        )
        self._apply(started)
        self._stage_second_models()

    def open_replicas(self) -> Counter[str]:
        """Return how many replicas of each model serve now."""
        return Counter(
            replica.model
            for replica in self.replicas.values()
            if replica.opens_at <= self.now
        )

    def crash(self, count: int, downtime_seconds: float) -> None:
        """Fail instances together; replacements appear after a downtime."""
        alive = sorted(self._instances(), key=lambda instance: instance.id)
        dead_ids = {
            instance.id for instance in self._source.sample(alive, count)
        }
        for instance in alive:
            if instance.id in dead_ids:
                # Models staged on the host survive.
                back = attrs.evolve(
                    self._new(instance.fabric_domain),
                    staged=instance.staged,
                )
                self._pending_returns.append(
                    (self.now + downtime_seconds, back)
                )
        for name, replica in list(self.replicas.items()):
            if any(member.id in dead_ids for member in replica.members):
                self.replicas.pop(name)
                self._end(replica, dead_ids)
        for released in self._released:
            released.members = _without(released.members, dead_ids)
        for name in dead_ids:
            self._free.pop(name, None)
            self._stagings.pop(name, None)

    def run(self, seconds: float) -> Iterator[Counter[str]]:
        """Advance the time; yield the open replicas at each tick."""
        until = self.now + seconds
        while self.now < until:
            self.now += _TICK_SECONDS
            self._loads += self._layout.loads_per_second * _TICK_SECONDS
            self._loads = min(self._loads, self._layout.loads_per_second)
            self._complete_due()
            for number, cooldown in enumerate(self._cooldowns):
                scope = cooldown.scope(self._records())
                self._apply(plan(self._plan_input(number), scope))
            yield self.open_replicas()

    def _clock(self) -> float:
        return self.now

    def _new(self, fabric: str) -> ListedInstance:
        return listed_instance(f'i{next(self._numbers):04}', _ADDRESS, fabric)

    def _add(self, instance: ListedInstance) -> None:
        self._free[instance.id] = instance

    def _stage_second_models(self) -> None:
        """Stage the other model on all members, which makes its loads quick."""
        names = [model.name for model in self._layout.models]
        for replica in self.replicas.values():
            other = next(name for name in names if name != replica.model)
            replica.members = tuple(
                attrs.evolve(member, staged=(other,))
                for member in replica.members
            )

    def _instances(self) -> Iterator[ListedInstance]:
        yield from self._free.values()
        for group in self._groups():
            yield from group.members

    def _groups(self) -> Iterator[_Replica | _ReleasedMembers]:
        yield from self.replicas.values()
        yield from self._released

    def _records(self) -> list[ReplicaRecord]:
        return [
            released.record
            for released in self._released
            if released.record is not None
        ]

    def _end(self, replica: _Replica, dead_ids: set[str]) -> None:
        head_died = replica.members[0].id in dead_ids
        wait = _STALL_SECONDS if head_died else 0
        self._released.append(
            _ReleasedMembers(
                replica.members, self.now + _DETECTION_SECONDS + wait
            ),
        )

    def _complete_due(self) -> None:
        for released in tuple(self._released):
            if released.free_at < self.now:
                self._released.remove(released)
                for member in released.members:
                    self._add(member)
        for due in tuple(self._pending_returns):
            if due[0] < self.now:
                self._pending_returns.remove(due)
                self._add(due[1])
        for name, (at, model) in list(self._stagings.items()):
            if at < self.now:
                del self._stagings[name]
                self._set_staged(name, model)

    def _set_staged(self, name: str, model: str) -> None:
        host = self._free.get(name)
        if host is not None:
            self._free[name] = attrs.evolve(host, staged=(model,))
        for group in self._groups():
            group.members = tuple(
                attrs.evolve(member, staged=(model,))
                if member.id == name
                else member
                for member in group.members
            )

    def _own_fabrics(self, number: int) -> frozenset[str]:
        first = number * _FABRICS_PER_PLACER
        fabrics = range(first, first + _FABRICS_PER_PLACER)
        return frozenset(f'f{fabric}' for fabric in fabrics)

    def _plan_input(self, number: int) -> PlanInput:
        own_fabrics = self._own_fabrics(number)
        release_delays = {
            member.id: released.free_at - self.now
            for released in self._released
            for member in released.members
        }
        taken = {
            member.id
            for replica in self.replicas.values()
            for member in replica.members
        }
        free = tuple(
            instance
            for instance in self._instances()
            if instance.id not in taken
            and instance.fabric_domain in own_fabrics
        )
        replica_counts: dict[str, float] = defaultdict(float)
        fabric_replica_counts: Counter[tuple[str, str]] = Counter()
        for replica in self.replicas.values():
            is_slow = replica.loads and replica.opens_at > self.now
            part = discount(replica.opens_at - self.now) if is_slow else 1
            replica_counts[replica.model] += part
            fabric = replica.members[0].fabric_domain
            fabric_replica_counts[fabric, replica.model] += 1
        return PlanInput(
            self._layout.profile,
            tuple({instance.id: instance for instance in free}.values()),
            replica_counts,
            fabric_replica_counts,
            self.demand,
            tuple(self._members(own_fabrics)),
            {name: model for name, (_at, model) in self._stagings.items()},
            release_delays,
            instance_count=self._layout.fabrics * self._layout.fabric_size,
        )

    def _members(self, own_fabrics: frozenset[str]) -> Iterator[ServingMember]:
        for name, replica in self.replicas.items():
            if replica.opens_at > self.now:
                continue
            for member in replica.members:
                if member.fabric_domain in own_fabrics:
                    yield ServingMember(member, name, replica.model)

    def _apply(self, new_plan: Plan) -> None:
        for name in new_plan.preempted:
            closed = self.replicas.pop(name)
            record = ReplicaRecord(
                name,
                1,
                SERVICE,
                closed.model,
                'east',
                closed.members[0].fabric_domain,
                tuple(member.id for member in closed.members),
                reason=PREEMPTION_REASON,
            )
            self._released.append(
                _ReleasedMembers(
                    closed.members, self.now + DRAIN_SECONDS, record
                ),
            )
        for new in new_plan.replicas:
            self._form(new)
        self._start_stagings(new_plan.stagings)

    def _form(self, new: NewReplica) -> None:
        if new.cold_members and self.now:
            if new.cold_members > self._loads:
                return
            self._loads -= new.cold_members
        names = {member.id for member in new.members}
        for name in names:
            self._free.pop(name, None)
            self._stagings.pop(name, None)
        for released in self._released:
            released.members = _without(released.members, names)
        self.replicas[f'r{next(self._numbers)}'] = _Replica(
            new.model,
            tuple(_joined(member, new.model) for member in new.members),
            self.now + new.ready_seconds,
            new.cold_members,
        )

    def _start_stagings(self, stagings: Sequence[Staging]) -> None:
        seconds = {
            model.name: model.load_seconds for model in self._layout.models
        }
        for staging in stagings:
            name = staging.instance.id
            if self._loads >= 1 and self.now and name not in self._stagings:
                self._loads -= 1
                until = self.now + seconds[staging.model]
                self._stagings[name] = (until, staging.model)


def _joined(instance: ListedInstance, model: str) -> ListedInstance:
    staged = instance.staged
    if model not in models_of(instance):
        staged = (model,)
    return attrs.evolve(instance, loaded=(model,), staged=staged)


def _without(
    members: Sequence[ListedInstance],
    names: set[str],
) -> tuple[ListedInstance, ...]:
    return tuple(member for member in members if member.id not in names)
