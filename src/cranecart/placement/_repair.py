"""Decide how to repair a replica that lost or is losing members."""

from collections.abc import Sequence

import attrs

from cranecart.instances import MemberState, ReplicaRow
from cranecart.placement._actions import (
    Action,
    ReplaceMembers,
    RetireReplica,
)
from cranecart.placement._free_instances import FreeInstances
from cranecart.placement._state import DomainState


def repair(
    state: DomainState,
    row: ReplicaRow,
    free: FreeInstances,
) -> Action | None:
    """Return the action that repairs or dissolves a replica, if any."""
    gone = [member for member in row.members if state.is_gone(member)]
    leaving = [
        member
        for member in row.members
        if not state.is_gone(member) and state.is_leaving(member)
    ]
    drained = all(state.is_drained(row, member) for member in leaving)
    if gone or (leaving and drained):
        return _replace(row, [*gone, *leaving], free)
    if _is_broken(state, row) and not state.is_evacuated:
        return ReplaceMembers(
            row,
            attrs.evolve(row, generation=row.generation + 1),
            'restart all members: the replica is broken',
        )
    return None


def _replace(
    row: ReplicaRow,
    outgoing: Sequence[str],
    free: FreeInstances,
) -> Action:
    names = ', '.join(outgoing)
    spares = free.take(row.fabric_domain, len(outgoing))
    if not spares:
        return RetireReplica(row, f'no spare instance for {names}')
    substitutes = dict(zip(outgoing, spares, strict=True))
    members = tuple(substitutes.get(member, member) for member in row.members)
    return ReplaceMembers(
        row,
        attrs.evolve(row, generation=row.generation + 1, members=members),
        f'{names} replaced',
    )


def _is_broken(state: DomainState, row: ReplicaRow) -> bool:
    report = state.leader_report(row)
    return (
        report is not None
        and report.state is MemberState.BROKEN
        and report.generation == row.generation
    )
