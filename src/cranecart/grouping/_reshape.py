"""Decide whether a replica should make room for one of another model.

Repairs take what a fabric domain has left, and a smaller model fits where a
larger one does not. Over several deaths one model would lose its replicas to
the other.
"""

import itertools
import time
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Sequence

import attrs

from cranecart.fleet import ReplicaRecord
from cranecart.grouping._supply import ServingMember, Supply, models_of
from cranecart.models import EngineModel
from cranecart.ports import ListedInstance

# What the other model's replicas must lack, against what this one's would
# then: closing and forming costs some seconds of a replica, so that small
# differences, which chance brings, are left.
_LEAST_GAIN = 1.6
# A larger model may need two replicas of a smaller one, rarely more.
_MOST_CLOSED = 2

MAKES_ROOM = 'another model needs its instances more'
# A replica closes and its instances serve anew within this; until then the
# need of the other model looks as great as before.
_PAUSE_SECONDS = 4.0
# How often it is worth to compare all replicas of a failure domain.
_LOOK_SECONDS = 0.5


@attrs.define
class RoomPause:
    """Keeps placers from all making room for the same need."""

    _clock: Callable[[], float] = time.monotonic
    _made_at: float = attrs.field(default=float('-inf'), init=False)
    _looked_at: float = attrs.field(default=float('-inf'), init=False)

    def may_look(self, records: Iterable[ReplicaRecord]) -> bool:
        """Tell whether no replica has just made room, and it is time."""
        now = self._clock()
        if now - self._looked_at < _LOOK_SECONDS:
            return False
        self._looked_at = now
        if any(record.reason == MAKES_ROOM for record in records):
            self._made_at = now
        return now - self._made_at >= _PAUSE_SECONDS


@attrs.frozen
class _Replica:
    """One that serves, of the model ``own``."""

    name: str
    own: EngineModel
    fabric_domain: str
    instances: tuple[ListedInstance, ...]


def choose_closing(
    supply: Supply,
    unused: Sequence[ListedInstance],
) -> tuple[str, ...]:
    """Return the replicas to close for a model that needs them more.

    Return none where that gains nothing; ``unused`` are instances left over.
    """
    if not supply.is_demand_known:
        return ()
    for count in range(1, _MOST_CLOSED + 1):
        gains = {
            tuple(one.name for one in closed): _gain(supply, unused, closed)
            for closed in itertools.combinations(_replicas(supply), count)
            if len({(one.fabric_domain, one.own.name) for one in closed}) == 1
        }
        best = max(gains, key=gains.__getitem__, default=())
        if gains.get(best, 0) >= _LEAST_GAIN:
            return best
    return ()


def _replicas(supply: Supply) -> Iterator[_Replica]:
    """Yield the replicas whose members are all present."""
    models = {model.name: model for model in supply.models}
    by_replica: dict[str, list[ServingMember]] = defaultdict(list)
    for member in supply.members:
        by_replica[member.replica].append(member)
    for name, members in by_replica.items():
        own = models.get(members[0].model)
        if own is not None and len(members) == own.size:
            instances = tuple(member.instance for member in members)
            yield _Replica(name, own, instances[0].fabric_domain, instances)


def _gain(
    supply: Supply,
    unused: Sequence[ListedInstance],
    closed: Sequence[_Replica],
) -> float:
    """Return how many times more another model needs the instances."""
    own, fabric = closed[0].own, closed[0].fabric_domain
    usable = [
        *itertools.chain.from_iterable(one.instances for one in closed),
        *(one for one in unused if one.fabric_domain == fabric),
    ]
    left = max(0, supply.present.get(own.name, 0) - len(closed))
    gains = (
        supply.need(model, supply.present.get(model.name, 0))
        for model in supply.models
        if model is not own and _fits(model, usable)
    )
    return max(gains, default=0) / supply.need(own, left)


def _fits(model: EngineModel, usable: Sequence[ListedInstance]) -> bool:
    """Tell whether a replica could be formed without a load."""
    return model.size <= sum(model.name in models_of(one) for one in usable)
