"""How long placement decisions take at the target size of one domain."""

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
_SIZE = 8
_FABRICS = 6
_ONE_IN = 100
_MILLISECONDS = 1000
_TARGET_REPLICAS = 95
_TARGET_INSTANCES = 750
REPLICA_SIZES = (12, 24, 48, _TARGET_REPLICAS)


def plan_times() -> list[tuple[int, float]]:
    """Return the time of a plan from nothing, by replicas, in ms."""
    return [(size, _time_of_plan(_empty(size))) for size in REPLICA_SIZES]


def after_loss(prefer: Preference, seed: int) -> dict[str, float]:
    """Lose one instance in a hundred; return what is stranded and down."""
    state = _placed(_empty(_TARGET_REPLICAS, prefer))
    random.Random(seed)
    hurt = _lose_some(state, seed)
    after = _placed(_let_go(_carried_out(hurt)))
    alive = len(after.instances) - len(hurt.lost)
    ideal = min(_TARGET_REPLICAS, _most_replicas(hurt))
    return {
        'decision_ms': _time_of_plan(hurt),
        'lost_instances': len(hurt.lost),
        'replicas_dissolved': sum(
            isinstance(one, RetireReplica) for one in plan(hurt)
        ),
        'replicas_after': len(after.rows),
        'stranded_accelerators': alive - len(after.rows) * _SIZE,
        'stranded_ideal': alive - ideal * _SIZE,
    }


def _most_replicas(state: DomainState) -> int:
    """Return how many replicas fit into the fabric domains at best."""
    alive = Counter(
        instance.fabric_domain
        for name, instance in state.instances.items()
        if name not in state.lost
    )
    return sum(count // _SIZE for count in alive.values())


def _lose_some(state: DomainState, seed: int) -> DomainState:
    names = sorted(state.instances)
    count = len(names) // _ONE_IN
    lost = frozenset(random.Random(seed).sample(names, count))
    kept = {
        name: report
        for name, report in state.reports.items()
        if name not in lost
    }
    return attrs.evolve(state, lost=lost, reports=kept)


def _time_of_plan(state: DomainState) -> float:
    started = time.perf_counter()
    plan(state)
    return (time.perf_counter() - started) * _MILLISECONDS


def _empty(
    replicas: int,
    prefer: Preference = Preference.DOWNTIME,
) -> DomainState:
    count = _TARGET_INSTANCES * replicas // _TARGET_REPLICAS
    count = max(count, replicas * _SIZE)
    instances = {
        f'i{number:04}': Instance(
            f'i{number:04}',
            InstanceKind.ENGINE,
            '127.0.0.1',
            number,
            _DOMAIN,
            f'f{number % _FABRICS}',
        )
        for number in range(count)
    }
    spec = ModelSpec('m', 'v', replicas, _SIZE, (_DOMAIN,), prefer)
    reports = {name: MemberReport(name) for name in instances}
    return DomainState(_DOMAIN, (spec,), {}, {}, instances, reports)


def _carried_out(state: DomainState) -> DomainState:
    rows = dict(state.rows)
    for action in plan(state):
        if isinstance(action, RetireReplica):
            rows.pop(action.row.id)
        else:
            rows[action.row.id] = action.row
    owners = {member: row.id for row in rows.values() for member in row.members}
    return attrs.evolve(state, rows=rows, owners=owners)


def _let_go(state: DomainState) -> DomainState:
    """Let the members of dissolved replicas report that they are idle."""
    reports = {
        name: report if name in state.owners else MemberReport(name)
        for name, report in state.reports.items()
    }
    return attrs.evolve(state, reports=reports)


def _placed(state: DomainState) -> DomainState:
    state = _carried_out(state)
    reports = dict(state.reports)
    for row in state.rows.values():
        reports.update({name: _ready(name, row) for name in row.members})
    return attrs.evolve(state, reports=reports)


def _ready(name: str, row: ReplicaRow) -> MemberReport:
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
