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

from cranecart.grouping._membership import (
    Candidate,
    Composition,
    Members,
    Ranking,
    counted,
    forming_costs,
)
from cranecart.grouping._objective import Objective
from cranecart.grouping._supply import models_of
from cranecart.models import EngineModel
from cranecart.ports import ListedInstance

# In instances that work fills. A closed replica serves nothing for a second; a
# step that brings less is left, as chance in the measured work would bring and
# take it.
_CLOSE_COST = 0.12


@attrs.frozen
class Closable:
    """A replica that serves, and could make room."""

    name: str
    model: str
    members: tuple[ListedInstance, ...]


@attrs.frozen
class Division:
    """What becomes of a fabric domain, and what that is worth."""

    formed: tuple[Members, ...]
    closed: tuple[str, ...]
    value: float


@attrs.frozen
class Pool:
    """One fabric domain: who is free, what may close, how quickly it goes.

    ``load_part`` multiplies the time of loads; ``close_seconds`` is how long
    a closing replica takes to finish what it has.
    """

    candidates: tuple[Candidate, ...]
    closables: tuple[Closable, ...] = ()
    load_part: float = 1
    close_seconds: float = 0


def divide(
    pool: Pool,
    weigh: Objective,
    present: Mapping[str, float],
) -> Division:
    """Return the division of a fabric domain that is worth most.

    ``present`` counts the replicas of the whole deployment.
    """
    return max(
        _divisions(pool, weigh, present),
        key=lambda one: (one.value, -len(one.closed)),
    )


def _divisions(
    pool: Pool,
    weigh: Objective,
    present: Mapping[str, float],
) -> Iterator[Division]:
    for closed in _closings(pool.closables, weigh.models):
        left = defaultdict(float, present)
        for replica in closed:
            left[replica.model] -= 1
        for formed in _formings(pool, weigh.models, closed):
            costs = forming_costs(formed, pool.load_part)
            costs += _CLOSE_COST * len(closed)
            yield Division(
                formed,
                tuple(replica.name for replica in closed),
                _value(weigh, left, formed) - costs / weigh.instances_needed,
            )


def _formings(
    pool: Pool,
    models: Sequence[EngineModel],
    closed: Sequence[Closable],
) -> Iterator[tuple[Members, ...]]:
    """Yield what can be formed; where replicas close, not only theirs anew."""
    released = (member for replica in closed for member in replica.members)
    candidates = [
        *pool.candidates,
        *(Candidate(member, pool.close_seconds) for member in released),
    ]
    ranking = Ranking(candidates, models, pool.load_part)
    for counts in _compositions(models, len(candidates)):
        if not closed or _has_other(counts, closed[0].model):
            yield ranking.assign(counts)


def _has_other(counts: Composition, model: str) -> bool:
    """Tell whether a replica of another model is formed."""
    return any(count for one, count in counts if one.name != model)


def _closings(
    closables: Sequence[Closable],
    models: Sequence[EngineModel],
) -> Iterator[tuple[Closable, ...]]:
    """Yield no closing, and those of some replicas of one model.

    Of each model those whose members can serve another are tried first, and
    the others not at all: they differ in nothing else.
    """
    yield ()
    by_model: dict[str, list[Closable]] = {}
    for replica in closables:
        by_model.setdefault(replica.model, []).append(replica)
    for model in models:
        replicas = by_model.get(model.name, [])
        replicas.sort(key=_flexible_members, reverse=True)
        most = min(len(replicas), _most_closed(model, models))
        for count in range(1, most + 1):
            yield tuple(replicas[:count])


def _most_closed(model: EngineModel, models: Sequence[EngineModel]) -> int:
    """Return how many of a model's replicas one of another may need.

    Two for four members beside two, but four for sixteen beside four: with
    two at the most, no room was ever made for sixteen.
    """
    largest = max(other.size for other in models)
    return math.ceil(largest / model.size)


def _flexible_members(replica: Closable) -> int:
    return sum(len(set(models_of(one))) > 1 for one in replica.members)


def _compositions(
    models: Sequence[EngineModel],
    instances: int,
) -> Iterator[Composition]:
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
    weigh: Objective,
    present: Mapping[str, float],
    formed: Sequence[Members],
) -> float:
    replicas = defaultdict(float, present)
    for one in formed:
        replicas[one.model] += counted(one.ready_seconds)
    return weigh.value(replicas)
