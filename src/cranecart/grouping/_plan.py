"""Decide which replicas to form, what closes for them, what to stage."""

from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence

import attrs

from cranecart.grouping._division import (
    Division,
    Pool,
    divide,
)
from cranecart.grouping._membership import Candidate, Members, counted
from cranecart.grouping._reshape import Closing, closables
from cranecart.grouping._spares import assign_spares, second_models
from cranecart.grouping._supply import (
    NewReplica,
    Plan,
    Staging,
    StagingUse,
    Supply,
    Warming,
)
from cranecart.ports import ListedInstance


def plan(supply: Supply, closing: Closing = Closing.NOTHING) -> Plan:
    """Divide each fabric domain, then stage what is left over.

    At most one fabric domain's replicas are closed for others in a plan, so
    that what that brings is seen before more is closed.
    """
    if supply.profile.engine is None:
        return Plan()
    by_fabric = _by_fabric(supply)
    present: dict[str, float] = defaultdict(float, supply.present)
    replicas: list[NewReplica] = []
    closed: tuple[str, ...] = ()
    for fabric, free in by_fabric.items():
        where = closing.after_one() if closed else closing
        division = _divide(supply, fabric, free, present, where)
        by_fabric[fabric] = _left_over(free, division.formed)
        begun = _begun(division, free, where)
        closed = closed or begun.closed
        for one in begun.formed:
            replicas.append(_new(supply, fabric, one))
            present[one.model] += counted(one.ready_seconds)
    return _with_roles(supply, by_fabric, present, replicas, closed)


def _begun(
    division: Division,
    free: Sequence[ListedInstance],
    closing: Closing,
) -> Division:
    """Return the part of a division that begins now.

    Where nothing may be closed yet, replicas that need it wait, and so do the
    free instances that they are to be formed from: taken by what fits them
    meanwhile, fifteen survivors of sixteen became three smaller replicas.
    """
    if closing is not Closing.LATER:
        return division
    names = {one.id for one in free}
    formed = tuple(
        one
        for one in division.formed
        if names.issuperset(member.id for member in one.instances)
    )
    return attrs.evolve(division, formed=formed, closed=())


def _by_fabric(supply: Supply) -> dict[str, list[ListedInstance]]:
    """Sort the free instances into all fabric domains with instances."""
    used = (one.instance for one in supply.members)
    names = {one.fabric_domain for one in (*supply.free, *used)}
    by_fabric: dict[str, list[ListedInstance]] = {
        name: [] for name in sorted(names)
    }
    for instance in supply.free:
        by_fabric[instance.fabric_domain].append(instance)
    return by_fabric


def _divide(
    supply: Supply,
    fabric: str,
    free: Sequence[ListedInstance],
    present: Mapping[str, float],
    closing: Closing,
) -> Division:
    pool = Pool(
        tuple(Candidate(one, supply.waits.get(one.id, 0)) for one in free),
        closables(supply, fabric) if closing.allows(bool(free)) else (),
        supply.load_part,
        closing.close_seconds,
    )
    return divide(pool, supply.objective, present)


def _left_over(
    free: Sequence[ListedInstance],
    formed: Sequence[Members],
) -> list[ListedInstance]:
    taken = {member.id for one in formed for member in one.instances}
    return [one for one in free if one.id not in taken]


def _new(supply: Supply, fabric: str, members: Members) -> NewReplica:
    return NewReplica(
        supply.profile.name,
        members.model,
        fabric,
        members.instances,
        members.cold,
        members.ready_seconds,
    )


def _with_roles(
    supply: Supply,
    by_fabric: dict[str, list[ListedInstance]],
    present: Mapping[str, float],
    replicas: Sequence[NewReplica],
    closed: tuple[str, ...],
) -> Plan:
    """Say what spares and members should have on their hosts, and load."""
    in_fabric = Counter(supply.in_fabric)
    in_fabric.update((one.fabric_domain, one.model) for one in replicas)
    roles = [
        role
        for fabric, free in by_fabric.items()
        for role in assign_spares(supply, fabric, free, present, in_fabric)
    ]
    return Plan(
        tuple(replicas),
        _ordered(roles, supply),
        tuple(one for one in roles if isinstance(one, Warming)),
        closed,
    )


def _ordered(
    roles: Sequence[Staging | Warming],
    supply: Supply,
) -> tuple[Staging, ...]:
    """Put spares that have nothing first, and members in use last."""
    stagings = [one for one in roles if isinstance(one, Staging)]
    stagings.sort(key=lambda one: one.use is StagingUse.SECOND_MODEL)
    members = ((one.instance, one.model) for one in supply.members)
    return (*stagings, *second_models(supply, members))
