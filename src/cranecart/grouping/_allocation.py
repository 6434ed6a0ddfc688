"""Divide a fabric domain's instances into replicas; no I/O, no clock.

Load answered: replicas lose members every few seconds, and what is left of a
fabric domain always fits the smaller model. Taking what fits gave all the
instances to it within twenty deaths, while the larger model had none left.
"""

import itertools
import math
from collections import defaultdict
from collections.abc import Iterator, Mapping, Sequence

import attrs

from cranecart.grouping._member_selection import (
    Candidate,
    CandidateRanking,
    ProposedReplica,
    ReplicaCounts,
    discount,
    formation_cost,
)
from cranecart.grouping._objective import Objective
from cranecart.grouping._plan_types import models_of
from cranecart.models import EngineModel
from cranecart.ports import ListedInstance

# In instances that work fills. A closed replica serves nothing for a second; a
# step that brings less is left, as chance in the measured work would bring and
# take it.
_PREEMPTION_COST = 0.12


@attrs.frozen
class PreemptibleReplica:
    """A replica that serves, and could make room."""

    name: str
    model: str
    members: tuple[ListedInstance, ...]


@attrs.frozen
class Allocation:
    """What becomes of a fabric domain, and what that is worth."""

    formed: tuple[ProposedReplica, ...]
    preempted: tuple[str, ...]
    value: float


@attrs.frozen
class FabricPool:
    """One fabric domain: who is free, what may close, how quickly it goes.

    ``load_part`` multiplies the time of loads; ``close_seconds`` is how long
    a closing replica takes to finish what it has.
    """

    candidates: tuple[Candidate, ...]
    preemptible: tuple[PreemptibleReplica, ...] = ()
    load_time_factor: float = 1
    drain_seconds: float = 0


def best_allocation(
    pool: FabricPool,
    objective: Objective,
    replica_counts: Mapping[str, float],
) -> Allocation:
    """Return the division of a fabric domain that is worth most.

    ``present`` counts the replicas of the whole deployment.
    """
    return max(
        _allocations(pool, objective, replica_counts),
        key=lambda one: (one.value, -len(one.preempted)),
    )


def _allocations(
    pool: FabricPool,
    objective: Objective,
    replica_counts: Mapping[str, float],
) -> Iterator[Allocation]:
    for preempted in _possible_preemptions(pool.preemptible, objective.models):
        remaining = defaultdict(float, replica_counts)
        for replica in preempted:
            remaining[replica.model] -= 1
        for formed in _possible_formations(pool, objective.models, preempted):
            costs = formation_cost(formed, pool.load_time_factor)
            costs += _PREEMPTION_COST * len(preempted)
            yield Allocation(
                formed,
                tuple(replica.name for replica in preempted),
                _value(objective, remaining, formed)
                - costs / objective.instances_needed,
            )


def _possible_formations(
    pool: FabricPool,
    models: Sequence[EngineModel],
    preempted: Sequence[PreemptibleReplica],
) -> Iterator[tuple[ProposedReplica, ...]]:
    """Yield what can be formed; where replicas close, not only theirs anew."""
    released = (member for replica in preempted for member in replica.members)
    candidates = [
        *pool.candidates,
        *(Candidate(member, pool.drain_seconds) for member in released),
    ]
    ranking = CandidateRanking(candidates, models, pool.load_time_factor)
    for counts in _possible_counts(models, len(candidates)):
        if not preempted or _forms_other_model(counts, preempted[0].model):
            yield ranking.assign(counts)


def _forms_other_model(counts: ReplicaCounts, model: str) -> bool:
    """Tell whether a replica of another model is formed."""
    return any(count for one, count in counts if one.name != model)


def _possible_preemptions(
    preemptible: Sequence[PreemptibleReplica],
    models: Sequence[EngineModel],
) -> Iterator[tuple[PreemptibleReplica, ...]]:
    """Yield no closing, and those of some replicas of one model.

    Of each model those whose members can serve another are tried first, and
    the others not at all: they differ in nothing else.
    """
    yield ()
    by_model: dict[str, list[PreemptibleReplica]] = {}
    for replica in preemptible:
        by_model.setdefault(replica.model, []).append(replica)
    for model in models:
        replicas = by_model.get(model.name, [])
        replicas.sort(key=_dual_model_members, reverse=True)
        limit = min(len(replicas), _max_preempted(model, models))
        for count in range(1, limit + 1):
            yield tuple(replicas[:count])


def _max_preempted(model: EngineModel, models: Sequence[EngineModel]) -> int:
    """Return how many of a model's replicas one of another may need.

    Two for four members beside two, but four for sixteen beside four: with
    two at the most, no room was ever made for sixteen.
    """
    largest = max(other.size for other in models)
    return math.ceil(largest / model.size)


def _dual_model_members(replica: PreemptibleReplica) -> int:
    return sum(len(set(models_of(one))) > 1 for one in replica.members)


def _possible_counts(
    models: Sequence[EngineModel],
    instances: int,
) -> Iterator[ReplicaCounts]:
    """Yield how many replicas of each model could be formed together."""
    ranges = (range(instances // model.size + 1) for model in models)
    for counts in itertools.product(*ranges):
        used = sum(
            model.size * count
            for model, count in zip(models, counts, strict=True)
        )
        if used <= instances:
            yield tuple(zip(models, counts, strict=True))


def _value(
    objective: Objective,
    replica_counts: Mapping[str, float],
    formed: Sequence[ProposedReplica],
) -> float:
    replicas = defaultdict(float, replica_counts)
    for one in formed:
        replicas[one.model] += discount(one.ready_seconds)
    return objective.value(replicas)
