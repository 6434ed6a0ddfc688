"""Find replicas that serve without a record; no I/O.

A table that comes back from a copy may lack the record of a replica, and no
node may know it from before. Its members tell in the list what they form.
"""

from collections import defaultdict
from collections.abc import Callable, Iterator, Sequence

import attrs

from cranecart.clocks import since_boot
from cranecart.fleet import Fleet, RecordState, ReplicaRecord, record_key
from cranecart.models import EngineProfile, RouteConfig
from cranecart.ports import ListedInstance, MemberPhase, Membership

# A replica that has just ended is listed for a moment longer.
_STANDING_SECONDS = 1.0
# The list may lack members for two seconds after the table's return.
_FILLING_SECONDS = 2.5
# Longer than both; a placer that has seen so much of the list knows the rest.
_WATCH_SECONDS = 6.0

_SERVING = frozenset((MemberPhase.OPEN, MemberPhase.CLOSING))
_Forming = tuple[str, int]
_Ranked = tuple[int, ListedInstance]
_Groups = dict[_Forming, tuple[ListedInstance, ...]]


@attrs.define
class Adoption:
    """The replicas of one failure domain that have no record.

    Looked for only for a while after ``watch``, as whoever places records what
    it forms.
    """

    _failure_domain: str
    _fleet: Fleet
    _clock: Callable[[], float] = since_boot
    _watch_until: float = attrs.field(default=float('-inf'), init=False)
    _since: dict[_Forming, float] = attrs.field(factory=dict, init=False)

    def watch(self) -> None:
        """Look for such replicas from now on."""
        self._watch_until = self._clock() + _WATCH_SECONDS

    def members(self) -> frozenset[str]:
        """Return the instances of such replicas; none of them is free."""
        return frozenset(
            member.id
            for members in self._unrecorded().values()
            for member in members
        )

    def due(self, config: RouteConfig) -> list[ReplicaRecord]:
        """Return the records of those that have stood for long enough.

        One that lacks members has to end.
        """
        found = self._unrecorded()
        now = self._clock()
        self._since = {one: self._since.get(one, now) for one in found}
        return list(self._records(found, config, now))

    def _records(
        self,
        found: _Groups,
        config: RouteConfig,
        now: float,
    ) -> Iterator[ReplicaRecord]:
        for forming, members in found.items():
            is_whole = _is_whole(members, config)
            wait = _STANDING_SECONDS if is_whole else _FILLING_SECONDS
            if now - self._since[forming] >= wait:
                yield _record(forming, members, is_whole)

    def _unrecorded(self) -> _Groups:
        if self._clock() > self._watch_until:
            return {}
        groups: dict[_Forming, list[_Ranked]] = defaultdict(list)
        for instance, membership in self._memberships():
            key = record_key(self._failure_domain, membership.replica)
            if not self._fleet.recorded.has_known(key):
                forming = (membership.replica, membership.epoch)
                groups[forming].append((membership.rank, instance))
        sorted_groups = {
            forming: tuple(one for _rank, one in sorted(ranked, key=_rank_of))
            for forming, ranked in groups.items()
        }
        return {
            forming: members
            for forming, members in sorted_groups.items()
            if members[0].phase_in(*forming) in _SERVING
        }

    def _memberships(self) -> Iterator[tuple[ListedInstance, Membership]]:
        return (
            (instance, instance.membership)
            for instance in self._fleet.instances.values()
            if instance.membership is not None
            and instance.failure_domain == self._failure_domain
        )


def _rank_of(ranked: _Ranked) -> int:
    return ranked[0]


def _is_whole(
    members: Sequence[ListedInstance],
    config: RouteConfig,
) -> bool:
    """Tell whether all members of a declared model are there."""
    ranks = [one.membership.rank for one in members if one.membership]
    profile = config.services.get(members[0].service)
    engine = None if profile is None else profile.engine
    size = _size(engine, members[0])
    return len(members) == size and ranks == list(range(size))


def _size(engine: EngineProfile | None, head: ListedInstance) -> int:
    if engine is None or not head.loaded:
        return 0
    model = engine.model(head.loaded[0])
    return 0 if model is None else model.size


def _record(
    forming: _Forming,
    members: Sequence[ListedInstance],
    is_whole: bool,
) -> ReplicaRecord:
    head = members[0]
    return ReplicaRecord(
        forming[0],
        forming[1],
        head.service,
        next(iter(head.loaded), ''),
        head.failure_domain,
        head.fabric_domain,
        tuple(member.id for member in members),
        RecordState.SERVING if is_whole else RecordState.ENDING,
        'it had no record',
        births=tuple(member.born for member in members),
    )
