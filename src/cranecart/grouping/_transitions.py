"""Decide the state transitions of recorded replicas; no I/O."""

from collections.abc import Collection

import attrs

from cranecart.fleet import Fleet, RecordState, ReplicaRecord
from cranecart.models import RouteConfig
from cranecart.ports import MemberPhase


@attrs.frozen
class Transition:
    """The new state of a replica's record, and the reason."""

    state: RecordState
    reason: str


def required_transition(
    record: ReplicaRecord,
    fleet: Fleet,
    lost: Collection[str],
    config: RouteConfig,
) -> Transition | None:
    """Return the transition that a replica needs, if any.

    A closing replica ends early only if it can no longer serve.
    """
    replica_epoch = (record.name, record.epoch)
    lost_members = [name for name in record.members if name in lost]
    if lost_members:
        return Transition(RecordState.ENDING, f'lost {", ".join(lost_members)}')
    is_superseded = fleet.instance_list.is_superseded
    restarted = [
        incarnation.id
        for incarnation in record.incarnations
        if is_superseded(incarnation)
    ]
    if restarted:
        return Transition(
            RecordState.ENDING, f'{", ".join(restarted)} restarted'
        )
    unknown = [
        name for name in record.members if fleet.find_instance(name) is None
    ]
    if unknown:
        return Transition(
            RecordState.ENDING, f'not listed: {", ".join(unknown)}'
        )
    head = fleet.find_instance(record.head)
    phase = None if head is None else head.phase_in(*replica_epoch)
    if phase is MemberPhase.BROKEN:
        return Transition(RecordState.ENDING, 'the head is broken')
    if phase is MemberPhase.OPEN:
        left = _departed_members(record, fleet)
        if left:
            return Transition(
                RecordState.ENDING, f'{", ".join(left)} left the replica'
            )
    if record.state is RecordState.CLOSING:
        return None
    return _transition_to_graceful_end(record, fleet, config, phase)


def _departed_members(record: ReplicaRecord, fleet: Fleet) -> list[str]:
    replica_epoch = (record.name, record.epoch)
    members = {name: fleet.find_instance(name) for name in record.members}
    return [
        name
        for name, member in members.items()
        if member is not None and member.phase_in(*replica_epoch) is None
    ]


def _transition_to_graceful_end(
    record: ReplicaRecord,
    fleet: Fleet,
    config: RouteConfig,
    phase: MemberPhase | None,
) -> Transition | None:
    if phase is MemberPhase.CLOSING:
        # A restored copy of the table may still show it as serving.
        return Transition(RecordState.CLOSING, 'the head is closing')
    graceful_state = (
        RecordState.CLOSING if phase is MemberPhase.OPEN else RecordState.ENDING
    )
    members = (fleet.find_instance(name) for name in record.members)
    leaving = [
        member.id for member in members if member is not None and member.leaving
    ]
    if leaving:
        return Transition(graceful_state, f'{", ".join(leaving)} is leaving')
    profile = config.services.get(record.service)
    model = (
        profile.engine.model(record.model)
        if profile is not None and profile.engine is not None
        else None
    )
    if model is None or model.size != len(record.members):
        return Transition(
            graceful_state, 'its model is not declared with this size'
        )
    return None
