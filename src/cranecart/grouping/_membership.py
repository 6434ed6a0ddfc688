"""Who becomes a member of what, how soon, and what that costs; no I/O."""

from collections.abc import Sequence

import attrs

from cranecart.grouping._supply import models_of
from cranecart.models import EngineModel
from cranecart.ports import ListedInstance

# A replica that serves later counts for less: deaths change every plan within
# some seconds on the users' sheets.
_HORIZON_SECONDS = 6.0
# What an instance needs that had the model last, and what a head needs to
# open, on the users' sheets.
_LOADED_SECONDS = 0.2
_OPEN_SECONDS = 0.3
# The costs are in instances that work fills. A member that joins with the
# model on its host gives up its second model, which is loaded anew within the
# weight store's pace: 0.4 loads a second on the users' sheets.
_SWITCH_COST = 0.04
# A member that must load keeps others from loading.
_LOAD_COST = 0.08

# How many replicas of each model to form.
Composition = tuple[tuple[EngineModel, int], ...]


@attrs.frozen
class Candidate:
    """An instance that could become a member, in so many seconds."""

    instance: ListedInstance
    wait_seconds: float = 0


@attrs.frozen
class Members:
    """A replica to form, head first; it serves in ``ready_seconds``.

    ``cold`` members must load; ``switched`` ones give up one of two models.
    """

    model: str
    instances: tuple[ListedInstance, ...]
    cold: int
    ready_seconds: float
    switched: int = 0


@attrs.frozen
class _Ranked:
    """A candidate for one model, by how soon it could be a ready member."""

    seconds: float
    instance: ListedInstance
    is_cold: bool
    is_switched: bool


class Ranking:
    """Candidates, ranked once for each model.

    Weighing a fabric domain of 37 instances asks for some twenty compositions
    of the same candidates, and again for each closing. Sorted anew for each
    replica, a first plan for six such domains took 38 ms; like this it is 9.
    """

    def __init__(
        self,
        candidates: Sequence[Candidate],
        models: Sequence[EngineModel],
        load_part: float,
    ) -> None:
        """Rank the candidates for each of the models."""
        self._ranked = {
            model.name: _rank(candidates, model, load_part) for model in models
        }

    def assign(self, counts: Composition) -> tuple[Members, ...]:
        """Give each replica the instances that are ready for it first."""
        taken: set[str] = set()
        formed = []
        for model, count in sorted(counts, key=lambda one: -one[0].size):
            if not count:
                continue
            left = [
                one
                for one in self._ranked[model.name]
                if one.instance.id not in taken
            ]
            for first in range(0, count * model.size, model.size):
                members = left[first : first + model.size]
                taken.update(one.instance.id for one in members)
                formed.append(_members(members, model))
        return tuple(formed)


def _rank(
    candidates: Sequence[Candidate],
    model: EngineModel,
    load_part: float,
) -> Sequence[_Ranked]:
    ordered = sorted(
        candidates,
        key=lambda one: (
            _seconds(one, model, load_part),
            # Between those that must load, who has nothing goes first.
            len(models_of(one.instance)),
            one.instance.id,
        ),
    )
    return [
        _Ranked(
            _seconds(one, model, load_part),
            one.instance,
            model.name not in models_of(one.instance),
            _gives_up(one.instance, model.name),
        )
        for one in ordered
    ]


def _members(members: Sequence[_Ranked], model: EngineModel) -> Members:
    return Members(
        model.name,
        tuple(one.instance for one in members),
        sum(one.is_cold for one in members),
        _OPEN_SECONDS + max(one.seconds for one in members),
        sum(one.is_switched for one in members),
    )


def _seconds(
    candidate: Candidate,
    model: EngineModel,
    load_part: float,
) -> float:
    """Return how long an instance takes to be a ready member."""
    instance = candidate.instance
    if model.name in instance.loaded:
        return candidate.wait_seconds + _LOADED_SECONDS
    if model.name in instance.staged:
        return candidate.wait_seconds + model.staged_seconds
    return candidate.wait_seconds + model.load_seconds * load_part


def counted(seconds: float) -> float:
    """Return as how much a replica counts that serves in so many seconds."""
    return _HORIZON_SECONDS / (_HORIZON_SECONDS + seconds)


def forming_costs(formed: Sequence[Members], load_part: float) -> float:
    """Return what forming takes from later plans, in instances."""
    cold = sum(one.cold for one in formed)
    switched = sum(one.switched for one in formed)
    return _LOAD_COST * load_part * cold + _SWITCH_COST * switched


def _gives_up(instance: ListedInstance, model: str) -> bool:
    """Tell whether an instance will have one model where it had two."""
    return bool(instance.loaded) and model not in instance.loaded
