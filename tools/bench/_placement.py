"""Placement decision time at the target size of a failure domain."""

import random
import time
from collections import Counter

import attrs

from cranecart.declarations import ModelSpec, Preference
from cranecart.instances import (
    Instance,
    InstanceKind,
    MemberReport,
    MemberState,
    ReplicaRow,
)
from cranecart.placement import DomainState, RetireReplica, plan

_DOMAIN = 'd'
_MEMBERS_PER_REPLICA = 8
_FABRIC_DOMAINS = 6
_INSTANCES_PER_LOSS = 100
_MILLISECONDS = 1000
_TARGET_REPLICAS = 95
_TARGET_INSTANCES = 750
REPLICA_SIZES = (12, 24, 48, _TARGET_REPLICAS)


def plan_times() -> list[tuple[int, float]]:
    """Return the time of an initial plan in ms by number of replicas."""
    return [(size, _plan_ms(_unplaced_state(size))) for size in REPLICA_SIZES]


def after_loss(prefer: Preference, seed: int) -> dict[str, float]:
    """Lose 1 % of the instances; return replicas lost and instances unused."""
    state = _place_and_start(_unplaced_state(_TARGET_REPLICAS, prefer))
    random.Random(seed)
    damaged = _lose_instances(state, seed)
    after = _place_and_start(_release_members(_apply_plan(damaged)))
    alive = len(after.instances) - len(damaged.lost)
    ideal = min(_TARGET_REPLICAS, _max_replicas(damaged))
    return {
        'decision_ms': _plan_ms(damaged),
        'lost_instances': len(damaged.lost),
        'replicas_dissolved': sum(
            isinstance(action, RetireReplica) for action in plan(damaged)
        ),
        'replicas_after': len(after.rows),
        'stranded_accelerators': alive - len(after.rows) * _MEMBERS_PER_REPLICA,
        'stranded_ideal': alive - ideal * _MEMBERS_PER_REPLICA,
    }


def _max_replicas(state: DomainState) -> int:
    """Return the maximum number of replicas that fit the fabric domains."""
    alive = Counter(
        instance.fabric_domain
        for name, instance in state.instances.items()
        if name not in state.lost
    )
    return sum(count // _MEMBERS_PER_REPLICA for count in alive.values())


def _lose_instances(state: DomainState, seed: int) -> DomainState:
    names = sorted(state.instances)
    count = len(names) // _INSTANCES_PER_LOSS
    lost = frozenset(random.Random(seed).sample(names, count))
    remaining = {
        name: report
        for name, report in state.reports.items()
        if name not in lost
    }
    return attrs.evolve(state, lost=lost, reports=remaining)


def _plan_ms(state: DomainState) -> float:
    started = time.perf_counter()
    plan(state)
    return (time.perf_counter() - started) * _MILLISECONDS


def _unplaced_state(
    replicas: int,
    prefer: Preference = Preference.DOWNTIME,
) -> DomainState:
    count = _TARGET_INSTANCES * replicas // _TARGET_REPLICAS
    count = max(count, replicas * _MEMBERS_PER_REPLICA)
    instances = {
        f'i{number:04}': Instance(
            f'i{number:04}',
            InstanceKind.ENGINE,
            '127.0.0.1',
            number,
            _DOMAIN,
            f'f{number % _FABRIC_DOMAINS}',
        )
        for number in range(count)
    }
    spec = ModelSpec(
        'm', 'v', replicas, _MEMBERS_PER_REPLICA, (_DOMAIN,), prefer
    )
    reports = {name: MemberReport(name) for name in instances}
    return DomainState(_DOMAIN, (spec,), {}, {}, instances, reports)


def _apply_plan(state: DomainState) -> DomainState:
    rows = dict(state.rows)
    for action in plan(state):
        if isinstance(action, RetireReplica):
            rows.pop(action.row.id)
        else:
            rows[action.row.id] = action.row
    owners = {member: row.id for row in rows.values() for member in row.members}
    return attrs.evolve(state, rows=rows, owners=owners)


def _release_members(state: DomainState) -> DomainState:
    """Report the members of retired replicas as idle."""
    reports = {
        name: report if name in state.owners else MemberReport(name)
        for name, report in state.reports.items()
    }
    return attrs.evolve(state, reports=reports)


def _place_and_start(state: DomainState) -> DomainState:
    state = _apply_plan(state)
    reports = dict(state.reports)
    for row in state.rows.values():
        reports.update({name: _ready_report(name, row) for name in row.members})
    return attrs.evolve(state, reports=reports)


def _ready_report(name: str, row: ReplicaRow) -> MemberReport:
    return MemberReport(
        name,
        MemberState.READY,
        row.id,
        row.generation,
        1,
        row.members,
        row.model,
        row.version,
    )
