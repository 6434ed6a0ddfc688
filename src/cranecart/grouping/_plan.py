"""Decide which replicas to form and what to stage; no I/O, no clock."""

from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence

from cranecart.grouping._spares import assign_spares, second_models
from cranecart.grouping._supply import (
    NewReplica,
    Plan,
    Staging,
    StagingUse,
    Supply,
    Warming,
    models_of,
)
from cranecart.models import EngineModel
from cranecart.ports import ListedInstance

# A replica of another model that serves sooner is preferred where it is needed
# nearly as much; deaths come every few seconds on the users' sheets.
_HORIZON_SECONDS = 6.0
# Each member that joins with its second model is without one until it has been
# staged anew, so that a replica goes on as it was unless another model is
# needed half as much again.
_SWITCH_COST = 0.15
# What an instance needs that had the model last, on the users' sheets.
_LOADED_SECONDS = 0.2


def plan(supply: Supply) -> Plan:
    """Form what can be formed by need, then stage what is left over."""
    if supply.profile.engine is None:
        return Plan()
    by_fabric: dict[str, list[ListedInstance]] = defaultdict(list)
    for instance in supply.free:
        by_fabric[instance.fabric_domain].append(instance)
    present = Counter(supply.present)
    replicas = [
        replica
        for fabric in sorted(by_fabric)
        for replica in _new_replicas(supply, by_fabric[fabric], present)
    ]
    in_fabric = Counter(supply.in_fabric)
    in_fabric.update((one.fabric_domain, one.model) for one in replicas)
    roles = [
        role
        for fabric, free in sorted(by_fabric.items())
        for role in assign_spares(supply, fabric, free, present, in_fabric)
    ]
    unused = [one for free in by_fabric.values() for one in free]
    return Plan(
        tuple(replicas),
        _ordered(roles, supply),
        tuple(one for one in roles if isinstance(one, Warming)),
        tuple(unused),
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


def _new_replicas(
    supply: Supply,
    free: list[ListedInstance],
    present: Counter[str],
) -> list[NewReplica]:
    """Take members out of a fabric domain's instances, and count them."""
    replicas = []
    while new := _next_replica(supply, free, present):
        replicas.append(new)
        present[new.model] += 1
        for member in new.members:
            free.remove(member)
    return replicas


def _next_replica(
    supply: Supply,
    free: Sequence[ListedInstance],
    present: Mapping[str, int],
) -> NewReplica | None:
    choices = {
        _choose_members(supply, free, model): model
        for model in supply.models
        if model.size <= len(free)
    }
    return max(
        choices,
        key=lambda new: _worth(supply, new, choices[new], present),
        default=None,
    )


def _worth(
    supply: Supply,
    new: NewReplica,
    model: EngineModel,
    present: Mapping[str, int],
) -> tuple[float, int]:
    """Weigh what a replica would serve by how long it takes to serve."""
    need = supply.need(model, present.get(model.name, 0))
    # The weight store serves a few loads at a time, so that a replica costs
    # others as much as it has members to load.
    loads = 1 + new.cold_members
    waits = 1 + new.ready_seconds / _HORIZON_SECONDS
    switches = sum(new.model not in one.loaded for one in new.members)
    costs = loads * waits * (1 + _SWITCH_COST * switches)
    return need / costs, len(new.members)


def _choose_members(
    supply: Supply,
    free: Sequence[ListedInstance],
    model: EngineModel,
) -> NewReplica:
    ranked = sorted(free, key=lambda one: (_seconds(one, model), one.id))
    members = tuple(ranked[: model.size])
    return NewReplica(
        supply.profile.name,
        model.name,
        members[0].fabric_domain,
        members,
        sum(model.name not in models_of(one) for one in members),
        max(_seconds(one, model) for one in members),
    )


def _seconds(instance: ListedInstance, model: EngineModel) -> float:
    """Return how long an instance takes to join a replica of a model."""
    if model.name in instance.loaded:
        return _LOADED_SECONDS
    if model.name in instance.staged:
        return model.staged_seconds
    # Between instances that must load, those that have nothing go first.
    return model.load_seconds + len(models_of(instance))
