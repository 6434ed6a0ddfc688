"""Judge whether a recorded replica can go on as it is; no I/O."""

from collections.abc import Collection

import attrs

from cranecart.fleet import Fleet, RecordState, ReplicaRecord
from cranecart.models import RouteConfig
from cranecart.ports import MemberPhase


@attrs.frozen
class Verdict:
    """The state that a replica's record should get, and why."""

    state: RecordState
    reason: str


def judge(
    record: ReplicaRecord,
    fleet: Fleet,
    lost: Collection[str],
    config: RouteConfig,
) -> Verdict | None:
    """Return what must become of a replica that has not ended, if anything.

    One that is closing already ends sooner only if it stands still.
    """
    forming = (record.name, record.epoch)
    dead = [name for name in record.members if name in lost]
    if dead:
        return Verdict(RecordState.ENDING, f'lost {", ".join(dead)}')
    is_superseded = fleet.listing.is_superseded
    anew = [
        incarnation.id
        for incarnation in record.incarnations
        if is_superseded(incarnation)
    ]
    if anew:
        return Verdict(RecordState.ENDING, f'{", ".join(anew)} lives anew')
    unknown = [name for name in record.members if fleet.known(name) is None]
    if unknown:
        return Verdict(RecordState.ENDING, f'unlisted {", ".join(unknown)}')
    head = fleet.known(record.head)
    phase = None if head is None else head.phase_in(*forming)
    if phase is MemberPhase.BROKEN:
        return Verdict(RecordState.ENDING, 'the head is broken')
    if phase is MemberPhase.OPEN:
        left = _members_that_left(record, fleet)
        if left:
            return Verdict(RecordState.ENDING, f'{", ".join(left)} left it')
    if record.state is RecordState.CLOSING:
        return None
    return _judge_wanted(record, fleet, config, phase)


def _members_that_left(record: ReplicaRecord, fleet: Fleet) -> list[str]:
    forming = (record.name, record.epoch)
    members = {name: fleet.known(name) for name in record.members}
    return [
        name
        for name, member in members.items()
        if member is not None and member.phase_in(*forming) is None
    ]


def _judge_wanted(
    record: ReplicaRecord,
    fleet: Fleet,
    config: RouteConfig,
    phase: MemberPhase | None,
) -> Verdict | None:
    if phase is MemberPhase.CLOSING:
        # A copy of the table shows it as it was before.
        return Verdict(RecordState.CLOSING, 'the head closes')
    soft_end = (
        RecordState.CLOSING if phase is MemberPhase.OPEN else RecordState.ENDING
    )
    members = (fleet.known(name) for name in record.members)
    leaving = [one.id for one in members if one is not None and one.leaving]
    if leaving:
        return Verdict(soft_end, f'{", ".join(leaving)} leaves')
    profile = config.services.get(record.service)
    model = (
        profile.engine.model(record.model)
        if profile is not None and profile.engine is not None
        else None
    )
    if model is None or model.size != len(record.members):
        return Verdict(soft_end, 'it is not declared any more')
    return None
