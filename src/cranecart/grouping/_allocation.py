"""Allocate a fabric domain's instances to replicas; no I/O, no clock.

Allocations are scored against an objective rather than filled greedily.
Replicas lose members every few seconds, and what is left of a fabric domain
always fits the smaller model: a greedy fill gave it all instances within twenty
failures and left the larger model without any.
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

# Unit: busy instances. A preempted replica serves nothing for about a second.
# Smaller gains are ignored, since noise in the measured demand would otherwise
# make replicas change back and forth.
_PREEMPTION_COST = 0.12


@attrs.frozen
class PreemptibleReplica:
    """A serving replica that can be closed to make room for another."""

    name: str
    model: str
    members: tuple[ListedInstance, ...]


@attrs.frozen
class Allocation:
    """The replicas to form and to close in a fabric domain, and their score.

    ``preempted`` names the replicas to close.
    """

    formed: tuple[ProposedReplica, ...]
    preempted: tuple[str, ...]
    value: float


@attrs.frozen
class FabricPool:
    """The free and preemptible instances of one fabric domain.

    ``load_time_factor`` scales the load times; ``drain_seconds`` is how long a
    closing replica takes to finish its requests.
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
    """Return the allocation of a fabric domain with the highest score.

    ``replica_counts`` has the number of replicas of each model in the whole
    deployment.
    """
    return max(
        _allocations(pool, objective, replica_counts),
        key=lambda allocation: (allocation.value, -len(allocation.preempted)),
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
    """Yield the sets of replicas that can be formed.

    If replicas are preempted, at least one replica of another model is formed.
    """
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
    """Return whether a replica of another model is formed."""
    return any(count for other, count in counts if other.name != model)


def _possible_preemptions(
    preemptible: Sequence[PreemptibleReplica],
    models: Sequence[EngineModel],
) -> Iterator[tuple[PreemptibleReplica, ...]]:
    """Yield the empty set, then sets of replicas of one model to close.

    Replicas of one model differ only in how many members hold a second model as
    well. Those with most such members come first, so only prefixes of that
    order are tried.
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
    """Return how many of a model's replicas to preempt at most.

    The limit follows from the sizes: two replicas of two members make room for
    one of four, but four replicas of four for one of sixteen. A fixed limit of
    two never made room for sixteen.
    """
    largest = max(other.size for other in models)
    return math.ceil(largest / model.size)


def _dual_model_members(replica: PreemptibleReplica) -> int:
    return sum(len(set(models_of(member))) > 1 for member in replica.members)


def _possible_counts(
    models: Sequence[EngineModel],
    instances: int,
) -> Iterator[ReplicaCounts]:
    """Yield the numbers of replicas per model that fit the instances."""
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
    for proposed in formed:
        replicas[proposed.model] += discount(proposed.ready_seconds)
    return objective.value(replicas)
