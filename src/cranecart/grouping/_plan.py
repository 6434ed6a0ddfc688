"""Decide which replicas to form and what to stage; no I/O, no clock."""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence

import attrs

from cranecart.models import EngineModel, ServiceProfile
from cranecart.ports import ListedInstance

# The chance that a member dies before a spare that was used is replaced: some
# 20 of 54 instances died in 34 s of the users' quiet days, a load takes 12 s
# or more.
_DEATHS_A_MEMBER = 0.1
# Added to the replicas of a model, so that their numbers, which change every
# second while replicas are repaired, do not outweigh a missing spare.
_DAMPING = 1.5


@attrs.frozen
class NewReplica:
    """Members, head first, that should form a replica of a model."""

    service: str
    model: str
    fabric_domain: str
    members: tuple[ListedInstance, ...]
    cold_members: int


@attrs.frozen
class Staging:
    """A model that an unused instance should bring to its host."""

    instance: ListedInstance
    model: str


@attrs.frozen
class Warming:
    """A model on its host that an unused instance should load."""

    instance: ListedInstance
    model: str


@attrs.frozen
class Plan:
    """What a failure domain's placer should begin now."""

    replicas: tuple[NewReplica, ...] = ()
    stagings: tuple[Staging, ...] = ()
    warmings: tuple[Warming, ...] = ()


@attrs.frozen
class Supply:
    """What a plan is made from, for one service.

    ``free`` are the unused instances of one failure domain, ``present``
    counts the replicas of each model over the whole deployment, ``in_fabric``
    those of each fabric domain, ``demand`` weighs the models' requests.
    """

    profile: ServiceProfile
    free: tuple[ListedInstance, ...]
    present: Mapping[str, int]
    in_fabric: Mapping[tuple[str, str], int]
    demand: Mapping[str, float]


def plan(supply: Supply) -> Plan:
    """Form what can be formed by need, then stage what is left over."""
    if supply.profile.engine is None:
        return Plan()
    by_fabric: dict[str, list[ListedInstance]] = defaultdict(list)
    for instance in supply.free:
        by_fabric[instance.fabric_domain].append(instance)
    present = Counter(supply.present)
    in_fabric = Counter(supply.in_fabric)
    replicas: list[NewReplica] = []
    for fabric in sorted(by_fabric):
        while new := _next_replica(
            supply,
            fabric,
            by_fabric[fabric],
            present,
        ):
            replicas.append(new)
            present[new.model] += 1
            in_fabric[fabric, new.model] += 1
            for member in new.members:
                by_fabric[fabric].remove(member)
    spares = [
        spare
        for fabric, free in sorted(by_fabric.items())
        for spare in _assign_spares(
            _wanted_spares(supply, fabric, len(free), present, in_fabric),
            free,
        )
    ]
    return Plan(
        tuple(replicas),
        tuple(one for one in spares if isinstance(one, Staging)),
        tuple(one for one in spares if isinstance(one, Warming)),
    )


def _next_replica(
    supply: Supply,
    fabric: str,
    free: Sequence[ListedInstance],
    present: Mapping[str, int],
) -> NewReplica | None:
    choices = [
        _choose_members(supply, fabric, free, model)
        for model in _models(supply)
        if model.size <= len(free)
    ]
    return max(
        choices,
        key=lambda new: _need(supply, new, present),
        default=None,
    )


def _need(
    supply: Supply,
    new: NewReplica,
    present: Mapping[str, int],
) -> tuple[float, int]:
    demand = supply.demand.get(new.model, 1.0)
    need = demand / (present.get(new.model, 0) + 0.5)
    # The weight store serves a few loads at a time, so that a replica costs
    # others as much as it has members to load.
    return need / (1 + new.cold_members), len(new.members)


def _choose_members(
    supply: Supply,
    fabric: str,
    free: Sequence[ListedInstance],
    model: EngineModel,
) -> NewReplica:
    ranked = sorted(free, key=lambda one: (_coldness(one, model.name), one.id))
    members = tuple(ranked[: model.size])
    cold = sum(model.name not in one.staged for one in members)
    return NewReplica(supply.profile.name, model.name, fabric, members, cold)


def _coldness(instance: ListedInstance, model: str) -> int:
    if model in instance.loaded:
        return 0
    if model in instance.staged:
        return 1
    return 2 + len(instance.staged)


def _assign_spares(
    wanted: Counter[str],
    free: Sequence[ListedInstance],
) -> Iterable[Staging | Warming]:
    """Warm spares for what they have; stage what none of them has."""
    idle = []
    for instance in sorted(free, key=lambda one: one.id):
        kept = next((name for name in instance.staged if wanted[name]), None)
        if kept is None:
            idle.append(instance)
            continue
        wanted[kept] -= 1
        if kept not in instance.loaded:
            yield Warming(instance, kept)
    yield from map(Staging, idle, wanted.elements())


def _wanted_spares(
    supply: Supply,
    fabric: str,
    spares: int,
    present: Mapping[str, int],
    in_fabric: Mapping[tuple[str, str], int],
) -> Counter[str]:
    """Give each spare to the model for which one more is worth most."""
    wanted: Counter[str] = Counter()
    for _number in range(spares):
        worth = {
            model.name: _chance_of_deaths(
                wanted[model.name] + 1,
                model.size * in_fabric.get((fabric, model.name), 0),
            )
            * supply.demand.get(model.name, 1.0)
            / (present.get(model.name, 0) + _DAMPING)
            for model in _models(supply)
        }
        wanted[max(worth, key=worth.__getitem__)] += 1
    return wanted


def _chance_of_deaths(least: int, members: int) -> float:
    """Return the chance that so many of the members or more die soon."""
    expected = _DEATHS_A_MEMBER * members
    fewer = sum(
        expected**deaths / math.factorial(deaths) for deaths in range(least)
    )
    return 1 - math.exp(-expected) * fewer


def _models(supply: Supply) -> tuple[EngineModel, ...]:
    engine = supply.profile.engine
    return () if engine is None else engine.models
