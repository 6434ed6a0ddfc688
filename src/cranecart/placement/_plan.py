"""Decide which replicas to create, repair and retire; no I/O, no clock."""

import itertools
from collections.abc import Collection, Iterator, Sequence

import attrs

from cranecart.declarations import ModelSpec
from cranecart.instances import MemberReport, ReplicaRow
from cranecart.placement._actions import (
    Action,
    CreateReplica,
    DrainReplica,
    Order,
    RetireReplica,
)
from cranecart.placement._free_instances import FreeInstances
from cranecart.placement._repair import repair
from cranecart.placement._state import DomainState


def plan(state: DomainState) -> list[Action]:
    """Return the actions that move a failure domain towards its spec."""
    free = FreeInstances.from_state(state)
    repairs = {row.id: repair(state, row, free) for row in state.ordered_rows()}
    actions = [action for action in repairs.values() if action is not None]
    remaining = [
        row
        for row in state.ordered_rows()
        if not isinstance(repairs[row.id], RetireReplica)
    ]
    for spec in state.models:
        actions.extend(_create_missing(state, spec, remaining, free))
    changing = {action.row.id for action in actions}
    growing = {action.row.model for action in actions}
    excess = [
        row
        for row in _excess(state, remaining, growing)
        if row.id not in changing
    ]
    actions.extend(
        _end_replica(state, row) for row in excess if not row.retiring
    )
    actions.extend(
        RetireReplica(row, 'its requests have completed')
        for row in remaining
        if row.retiring and state.is_drained(row, row.members[0])
    )
    return actions


def plan_orders(state: DomainState) -> list[Order]:
    """Return the orders that make instances follow the rows.

    In an evacuated failure domain, no instance is ordered to join a replica.
    """
    member_rows: dict[str, ReplicaRow] = {}
    for row in state.ordered_rows():
        member_rows.update(dict.fromkeys(row.members, row))
    return [
        Order(state.instances[name], member_rows.get(name))
        for name in sorted(state.instances)
        if name in state.reports
        and not _matches(state.reports[name], member_rows.get(name))
        and (not state.is_evacuated or not _is_joining(member_rows.get(name)))
    ]


def _matches(report: MemberReport, row: ReplicaRow | None) -> bool:
    if row is None:
        return not report.replica
    return (
        report.replica,
        report.generation,
        report.members,
        report.retiring,
    ) == (row.id, row.generation, row.members, row.retiring)


def _is_joining(row: ReplicaRow | None) -> bool:
    return row is not None and not row.retiring


def _create_missing(
    state: DomainState,
    spec: ModelSpec,
    remaining: Sequence[ReplicaRow],
    free: FreeInstances,
) -> Iterator[Action]:
    wanted = spec.replicas_in(state.failure_domain)
    existing = sum(
        row.model_key == spec.key and not row.retiring for row in remaining
    )
    names = _new_names(state, spec)
    for number in range(existing, wanted):
        fabric = free.choose_fabric(spec.instances_per_replica, spec.prefer)
        if fabric is None:
            return
        row = ReplicaRow(
            next(names),
            spec.name,
            spec.version,
            1,
            free.take(fabric, spec.instances_per_replica),
            state.failure_domain,
            fabric,
            spec.adapters,
        )
        reason = f'{spec.key} has {number} of {wanted}'
        yield CreateReplica(row, reason)


def _new_names(state: DomainState, spec: ModelSpec) -> Iterator[str]:
    numbered = (
        f'{state.failure_domain}.{spec.name}.{spec.version}.{number}'
        for number in itertools.count(1)
    )
    return (name for name in numbered if name not in state.rows)


def _excess(
    state: DomainState,
    remaining: Sequence[ReplicaRow],
    growing: Collection[str],
) -> Iterator[ReplicaRow]:
    """Yield the replicas that are no longer declared and may be ended.

    Replicas of an earlier version stay until those of the later version serve.
    Without room for both, they are ended one at a time.
    """
    names = sorted({row.model for row in remaining})
    for name in names:
        specs = [spec for spec in state.models if spec.name == name]
        rows = [row for row in remaining if row.model == name]
        yield from _excess_of_model(state, specs, rows, name in growing)


def _excess_of_model(
    state: DomainState,
    specs: Sequence[ModelSpec],
    rows: Sequence[ReplicaRow],
    is_growing: bool,
) -> Iterator[ReplicaRow]:
    wanted = {
        spec.key: spec.replicas_in(state.failure_domain) for spec in specs
    }
    old = [row for row in rows if row.model_key not in wanted]
    current = [row for row in rows if row.model_key in wanted]
    for key, count in wanted.items():
        yield from [row for row in current if row.model_key == key][count:]
    missing = sum(wanted.values()) - sum(map(state.is_ready, current))
    is_loading = is_growing or not all(map(state.is_ready, current))
    if missing <= 0:
        yield from old
    elif is_loading or state.is_evacuated:
        return
    elif not any(row.retiring for row in rows):
        yield from old[: max(1, len(old) - missing)]


def _end_replica(state: DomainState, row: ReplicaRow) -> Action:
    reason = f'{row.model_key} has more replicas than declared'
    if state.is_ready(row):
        return DrainReplica(attrs.evolve(row, retiring=True), reason)
    return RetireReplica(row, reason)
