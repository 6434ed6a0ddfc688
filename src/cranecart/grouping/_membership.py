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
    """A replica to form, head first; it serves in ``ready_seconds``."""

    model: str
    instances: tuple[ListedInstance, ...]
    cold: int
    ready_seconds: float


def assign(
    candidates: Sequence[Candidate],
    counts: Composition,
    load_part: float,
) -> tuple[Members, ...]:
    """Give each replica the instances that are ready for its model first."""
    left = list(candidates)
    formed = []
    for model, count in sorted(counts, key=lambda one: -one[0].size):
        for _replica in range(count):
            members = _quickest(left, model, load_part)
            formed.append(_members(members, model, load_part))
            left = [one for one in left if one not in members]
    return tuple(formed)


def _quickest(
    candidates: Sequence[Candidate],
    model: EngineModel,
    load_part: float,
) -> list[Candidate]:
    ranked = sorted(
        candidates,
        key=lambda one: (
            _seconds(one, model, load_part),
            # Between those that must load, who has nothing goes first.
            len(models_of(one.instance)),
            one.instance.id,
        ),
    )
    return ranked[: model.size]


def _members(
    members: Sequence[Candidate],
    model: EngineModel,
    load_part: float,
) -> Members:
    instances = tuple(one.instance for one in members)
    return Members(
        model.name,
        instances,
        sum(model.name not in models_of(one) for one in instances),
        _OPEN_SECONDS + max(_seconds(one, model, load_part) for one in members),
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
    switched = sum(
        _gives_up(instance, one.model)
        for one in formed
        for instance in one.instances
    )
    return _LOAD_COST * load_part * cold + _SWITCH_COST * switched


def _gives_up(instance: ListedInstance, model: str) -> bool:
    """Tell whether an instance will have one model where it had two."""
    return bool(instance.loaded) and model not in instance.loaded
