"""Select members for replicas by readiness and cost; no I/O."""

from collections.abc import Sequence

import attrs

from cranecart.grouping._plan_types import models_of
from cranecart.models import EngineModel
from cranecart.ports import ListedInstance

# Replicas that become ready later count for less, since failures change every
# plan within some seconds in the reference deployments.
_HORIZON_SECONDS = 6.0
# Time to join for an instance that still has the model loaded, and time for a
# head to open, in the reference deployments.
_JOIN_LOADED_SECONDS = 0.2
_OPEN_SECONDS = 0.3
# Costs are in busy instances. A member that joins with its staged model gives
# up the model it had loaded, which later has to be loaded again within the
# weight store's rate: 0.4 loads a second in the reference deployments.
_SWITCH_COST = 0.04
# A member that must load delays other loads.
_LOAD_COST = 0.08

# The models, each with the number of replicas to form.
ReplicaCounts = tuple[tuple[EngineModel, int], ...]


@attrs.frozen
class Candidate:
    """An instance that could become a member after ``wait_seconds``."""

    instance: ListedInstance
    wait_seconds: float = 0


@attrs.frozen
class ProposedReplica:
    """A replica to form, head first, which serves after ``ready_seconds``.

    ``cold_members`` have to load the model; ``switched_members`` give up one of
    their two models.
    """

    model: str
    instances: tuple[ListedInstance, ...]
    cold_members: int
    ready_seconds: float
    switched_members: int = 0


@attrs.frozen
class _RankedCandidate:
    """A candidate for one model, with its time until it is a ready member."""

    seconds: float
    instance: ListedInstance
    is_cold: bool
    is_switched: bool


class CandidateRanking:
    """Candidates, ranked once for each model.

    Scoring a fabric domain of 37 instances compares some twenty allocations of
    the same candidates, and as many for each set of preempted replicas. Sorting
    them again for each replica took 38 ms for a first plan of six such domains;
    ranking them once takes 9 ms.
    """

    def __init__(
        self,
        candidates: Sequence[Candidate],
        models: Sequence[EngineModel],
        load_time_factor: float,
    ) -> None:
        """Rank the candidates for each of the models."""
        self._ranked = {
            model.name: _rank(candidates, model, load_time_factor)
            for model in models
        }

    def assign(self, counts: ReplicaCounts) -> tuple[ProposedReplica, ...]:
        """Give each replica the instances that are ready for it first."""
        taken: set[str] = set()
        formed = []
        for model, count in sorted(
            counts, key=lambda model_count: -model_count[0].size
        ):
            if not count:
                continue
            remaining = [
                candidate
                for candidate in self._ranked[model.name]
                if candidate.instance.id not in taken
            ]
            for first in range(0, count * model.size, model.size):
                members = remaining[first : first + model.size]
                taken.update(member.instance.id for member in members)
                formed.append(_propose(members, model))
        return tuple(formed)


def _rank(
    candidates: Sequence[Candidate],
    model: EngineModel,
    load_time_factor: float,
) -> Sequence[_RankedCandidate]:
    ordered = sorted(
        candidates,
        key=lambda candidate: (
            _seconds_until_ready(candidate, model, load_time_factor),
            # Among instances that must load, prefer those without any model.
            len(models_of(candidate.instance)),
            candidate.instance.id,
        ),
    )
    return [
        _RankedCandidate(
            _seconds_until_ready(candidate, model, load_time_factor),
            candidate.instance,
            model.name not in models_of(candidate.instance),
            _gives_up_model(candidate.instance, model.name),
        )
        for candidate in ordered
    ]


def _propose(
    members: Sequence[_RankedCandidate], model: EngineModel
) -> ProposedReplica:
    return ProposedReplica(
        model.name,
        tuple(member.instance for member in members),
        sum(member.is_cold for member in members),
        _OPEN_SECONDS + max(member.seconds for member in members),
        sum(member.is_switched for member in members),
    )


def _seconds_until_ready(
    candidate: Candidate,
    model: EngineModel,
    load_time_factor: float,
) -> float:
    """Return how long an instance takes to become a ready member."""
    instance = candidate.instance
    if model.name in instance.loaded:
        return candidate.wait_seconds + _JOIN_LOADED_SECONDS
    if model.name in instance.staged:
        return candidate.wait_seconds + model.staged_seconds
    return candidate.wait_seconds + model.load_seconds * load_time_factor


def discount(seconds: float) -> float:
    """Return the weight of a replica that is ready after a delay."""
    return _HORIZON_SECONDS / (_HORIZON_SECONDS + seconds)


def formation_cost(
    formed: Sequence[ProposedReplica], load_time_factor: float
) -> float:
    """Return what the formation costs later plans, in busy instances."""
    cold_members = sum(replica.cold_members for replica in formed)
    switched_members = sum(replica.switched_members for replica in formed)
    return (
        _LOAD_COST * load_time_factor * cold_members
        + _SWITCH_COST * switched_members
    )


def _gives_up_model(instance: ListedInstance, model: str) -> bool:
    """Return whether an instance gives up the model that it has loaded."""
    return bool(instance.loaded) and model not in instance.loaded
