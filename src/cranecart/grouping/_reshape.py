"""Which replicas may make room for others, and how often that is weighed."""

import enum
import time
from collections import defaultdict
from collections.abc import Callable, Iterable

import attrs

from cranecart.fleet import ReplicaRecord
from cranecart.grouping._division import Closable
from cranecart.grouping._supply import ServingMember, Supply

MAKES_ROOM = 'another model needs its instances more'
# What a replica's streams take to end on the users' sheets.
CLOSE_SECONDS = 0.5
# Within this all placers know of a replica that makes room, and of the one
# that it makes room for; until then the need looks as great as before.
_PAUSE_SECONDS = 1.0
# How often it is worth to compare the replicas of fabric domains in which
# nothing is free.
_LOOK_SECONDS = 0.5


class Closing(enum.Enum):
    """Where replicas may be closed to make room for others."""

    NOTHING = 'nothing'
    # Where instances are free, which may lack a few to form something.
    BESIDE_FREE = 'beside free instances'
    ANYWHERE = 'anywhere'

    def allows(self, has_free: bool) -> bool:
        """Tell whether replicas of a fabric domain may be closed."""
        if self is Closing.BESIDE_FREE:
            return has_free
        return self is Closing.ANYWHERE


@attrs.define
class RoomPause:
    """Keeps placers from all making room for the same need."""

    _clock: Callable[[], float] = time.monotonic
    _made_at: float = attrs.field(default=float('-inf'), init=False)
    _looked_at: float = attrs.field(default=float('-inf'), init=False)

    def closing(self, records: Iterable[ReplicaRecord]) -> Closing:
        """Return what may be closed, as others may just have made room."""
        now = self._clock()
        if any(record.reason == MAKES_ROOM for record in records):
            self._made_at = now
        if now - self._made_at < _PAUSE_SECONDS:
            return Closing.NOTHING
        if now - self._looked_at < _LOOK_SECONDS:
            return Closing.BESIDE_FREE
        self._looked_at = now
        return Closing.ANYWHERE


def closables(supply: Supply, fabric: str) -> tuple[Closable, ...]:
    """Return a fabric domain's replicas whose members are all present."""
    sizes = {model.name: model.size for model in supply.models}
    by_replica: dict[str, list[ServingMember]] = defaultdict(list)
    for member in supply.members:
        if member.instance.fabric_domain == fabric:
            by_replica[member.replica].append(member)
    return tuple(
        Closable(name, members[0].model, tuple(one.instance for one in members))
        for name, members in by_replica.items()
        if len(members) == sizes.get(members[0].model)
    )
