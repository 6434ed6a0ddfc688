"""Decide what each spare, and each member in use, keeps ready.

An instance keeps one model on its host and has one loaded, and joins a
replica of either within two seconds. So what it has on its host is made
another model than the loaded one: any spare, and any member whose replica has
ended, can then join a replica of another model without a load.
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from cranecart.grouping._supply import (
    Staging,
    StagingUse,
    Supply,
    Warming,
    models_of,
)
from cranecart.ports import ListedInstance

# The chance that a member dies before a spare that was used is replaced: some
# 20 of 54 instances died in 34 s of the users' quiet days, a load takes 12 s
# or more.
_DEATHS_A_MEMBER = 0.1
# Added to the replicas of a model, so that their numbers, which change every
# second while replicas are repaired, do not outweigh a missing spare.
_DAMPING = 1.5
# A model without replicas in a fabric domain gets a spare there before another
# model gets a second one, as it may be given instances again.
_LEAST_REPLICAS = 0.5


def assign_spares(
    supply: Supply,
    fabric: str,
    free: Sequence[ListedInstance],
    present: Mapping[str, float],
    in_fabric: Mapping[tuple[str, str], int],
) -> Iterable[Staging | Warming]:
    """Warm spares for what they have; stage what none of them has."""
    wanted = _wanted_spares(supply, fabric, len(free), present, in_fabric)
    idle = []
    warm = []
    for instance in sorted(free, key=lambda one: one.id):
        coming = supply.staging.get(instance.id, '')
        models = (*models_of(instance), coming)
        kept = next((one for one in models if wanted[one]), None)
        if kept is None:
            idle.append(instance)
            continue
        wanted[kept] -= 1
        if kept in instance.loaded:
            warm.append((instance, kept))
        elif kept in instance.staged:
            yield Warming(instance, kept)
    missing = wanted.elements()
    yield from (
        Staging(instance, model)
        for instance, model in zip(idle, missing, strict=False)
        if instance.id not in supply.staging
    )
    yield from second_models(supply, warm)


def second_models(
    supply: Supply,
    loaded: Iterable[tuple[ListedInstance, str]],
) -> Iterable[Staging]:
    """Stage another model than the one that an instance has loaded."""
    scarcest_first = sorted(
        supply.models,
        key=supply.present_need,
        reverse=True,
    )
    for instance, model in loaded:
        others = [one.name for one in scarcest_first if one.name != model]
        if instance.id in supply.staging:
            continue
        if others and not set(others) & set(instance.staged):
            yield Staging(instance, others[0], StagingUse.SECOND_MODEL)


def _wanted_spares(
    supply: Supply,
    fabric: str,
    spares: int,
    present: Mapping[str, float],
    in_fabric: Mapping[tuple[str, str], int],
) -> Counter[str]:
    """Give each spare to the model for which one more is worth most."""
    needs = {
        model.name: supply.need(model, present.get(model.name, 0) + _DAMPING)
        for model in supply.models
    }
    members = {
        model.name: model.size
        * max(in_fabric.get((fabric, model.name), 0), _LEAST_REPLICAS)
        for model in supply.models
    }
    wanted: Counter[str] = Counter()
    for _spare in range(spares):
        worth = {
            name: need * _chance_of_deaths(wanted[name] + 1, members[name])
            for name, need in needs.items()
        }
        wanted[max(worth, key=worth.__getitem__)] += 1
    return wanted


def _chance_of_deaths(least: int, members: float) -> float:
    """Return the chance that so many of the members or more die soon."""
    expected = _DEATHS_A_MEMBER * members
    fewer = sum(
        expected**deaths / math.factorial(deaths) for deaths in range(least)
    )
    return 1 - math.exp(-expected) * fewer
