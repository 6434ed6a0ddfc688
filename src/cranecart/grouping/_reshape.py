"""Which replicas may make room for others, and how often that is weighed."""

import enum
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Self

import attrs

from cranecart.clocks import since_boot
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
    # Nothing yet, as others may just have made room; what will be closed soon
    # keeps the free instances waiting that it is to be closed for.
    LATER = 'beside free instances, but later'
    # Where instances are free, which may lack a few to form something.
    BESIDE_FREE = 'beside free instances'
    ANYWHERE = 'anywhere'

    def allows(self, has_free: bool) -> bool:
        """Tell whether replicas of a fabric domain may be closed."""
        if self in {Closing.BESIDE_FREE, Closing.LATER}:
            return has_free
        return self is Closing.ANYWHERE

    @property
    def close_seconds(self) -> float:
        """Return in how many seconds a closed replica's members are free."""
        if self is Closing.LATER:
            return _PAUSE_SECONDS + CLOSE_SECONDS
        return CLOSE_SECONDS

    def after_one(self) -> Self:
        """Return what may be closed after a fabric domain made room."""
        if self is Closing.NOTHING:
            return self
        return type(self).LATER


@attrs.define
class RoomPause:
    """Keeps placers from all making room for the same need.

    The pause counts from when a replica that makes room is first seen, as what
    it makes room for is known with it. Counted from when its record was gone,
    one that closed for long kept all others from making room.
    """

    _clock: Callable[[], float] = since_boot
    _seen: frozenset[str] = attrs.field(default=frozenset(), init=False)
    _made_at: float = attrs.field(default=float('-inf'), init=False)
    _looked_at: float = attrs.field(default=float('-inf'), init=False)

    def closing(self, records: Iterable[ReplicaRecord]) -> Closing:
        """Return what may be closed, as others may just have made room."""
        now = self._clock()
        self._note(records, now)
        if now - self._made_at < _PAUSE_SECONDS:
            return Closing.LATER
        if now - self._looked_at < _LOOK_SECONDS:
            return Closing.BESIDE_FREE
        self._looked_at = now
        return Closing.ANYWHERE

    def _note(self, records: Iterable[ReplicaRecord], now: float) -> None:
        making = frozenset(
            one.name for one in records if one.reason == MAKES_ROOM
        )
        if making - self._seen:
            self._made_at = now
        self._seen = making


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
