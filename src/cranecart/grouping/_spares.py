"""Choose the models that spares and members keep loaded or staged.

An instance has one model loaded and one staged on its host, and joins a replica
of either within two seconds. So another model than the loaded one is staged:
any spare, and any member whose replica has ended, can then join a replica of
another model without a load.
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from cranecart.grouping._plan_types import (
    PlanInput,
    Staging,
    StagingUse,
    Warming,
    models_of,
)
from cranecart.ports import ListedInstance

# Probability that a member fails before a used spare is replaced: some 20 of 54
# instances failed in 34 s of quiet days in the reference deployments, and a
# load takes 12 s or more.
_FAILURES_PER_MEMBER = 0.1
# Added to a model's replicas, whose number changes every second during repairs,
# so that such changes do not outweigh a missing spare.
_DAMPING_REPLICAS = 1.5
# A model without replicas in a fabric domain gets a spare there before another
# model gets a second one, as it may get instances there again.
_MIN_REPLICAS = 0.5


def assign_spares(
    plan_input: PlanInput,
    fabric: str,
    free: Sequence[ListedInstance],
    replica_counts: Mapping[str, float],
    fabric_replica_counts: Mapping[tuple[str, str], int],
) -> Iterable[Staging | Warming]:
    """Yield warmings of staged models, and stagings of missing ones."""
    wanted = _wanted_spares(
        plan_input, fabric, len(free), replica_counts, fabric_replica_counts
    )
    idle = []
    loaded_spares = []
    for instance in sorted(free, key=lambda instance: instance.id):
        pending = plan_input.pending_stagings.get(instance.id, '')
        models = (*models_of(instance), pending)
        kept = next((model for model in models if wanted[model]), None)
        if kept is None:
            idle.append(instance)
            continue
        wanted[kept] -= 1
        if kept in instance.loaded:
            loaded_spares.append((instance, kept))
        elif kept in instance.staged:
            yield Warming(instance, kept)
    missing = wanted.elements()
    yield from (
        Staging(instance, model)
        for instance, model in zip(idle, missing, strict=False)
        if instance.id not in plan_input.pending_stagings
    )
    yield from stage_second_models(plan_input, loaded_spares)


def stage_second_models(
    plan_input: PlanInput,
    loaded: Iterable[tuple[ListedInstance, str]],
) -> Iterable[Staging]:
    """Yield stagings of another model than an instance has loaded."""
    scarcest_first = sorted(
        plan_input.models,
        key=plan_input.current_demand_per_replica,
        reverse=True,
    )
    for instance, model in loaded:
        others = [other.name for other in scarcest_first if other.name != model]
        if instance.id in plan_input.pending_stagings:
            continue
        if others and not set(others) & set(instance.staged):
            yield Staging(instance, others[0], StagingUse.SECOND_MODEL)


def _wanted_spares(
    plan_input: PlanInput,
    fabric: str,
    spares: int,
    replica_counts: Mapping[str, float],
    fabric_replica_counts: Mapping[tuple[str, str], int],
) -> Counter[str]:
    """Return how many spares each model should get.

    Each spare goes to the model that gains most from one more.
    """
    needs = {
        model.name: plan_input.demand_per_replica(
            model, replica_counts.get(model.name, 0) + _DAMPING_REPLICAS
        )
        for model in plan_input.models
    }
    members = {
        model.name: model.size
        * max(fabric_replica_counts.get((fabric, model.name), 0), _MIN_REPLICAS)
        for model in plan_input.models
    }
    wanted: Counter[str] = Counter()
    for _spare in range(spares):
        gains = {
            name: demand_per_replica
            * _failure_probability(wanted[name] + 1, members[name])
            for name, demand_per_replica in needs.items()
        }
        wanted[max(gains, key=gains.__getitem__)] += 1
    return wanted


def _failure_probability(at_least: int, members: float) -> float:
    """Return the probability that at least so many members fail."""
    expected = _FAILURES_PER_MEMBER * members
    fewer = sum(
        expected**failures / math.factorial(failures)
        for failures in range(at_least)
    )
    return 1 - math.exp(-expected) * fewer
