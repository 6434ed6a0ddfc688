"""Find replicas that serve without a record; no I/O.

When the table is restored from a copy, it may lack the record of a replica that
no node remembers. The members' entries in the instance list still show which
replica they form. Late orders may open a replica again after its end, and
members that were taken to be gone may be listed again, the head last.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Sequence

import attrs

from cranecart.clocks import since_boot
from cranecart.fleet import Fleet, RecordState, ReplicaRecord, record_key
from cranecart.grouping._reopened import ReopenedReplicas
from cranecart.models import EngineProfile, RouteConfig
from cranecart.ports import ListedInstance, MemberPhase, Membership

# A replica that has just ended is listed for a moment longer.
_ORPHAN_GRACE_SECONDS = 1.0
# The list may lack members for two seconds after the table is restored.
_INCOMPLETE_GRACE_SECONDS = 2.5
# Longer than both, and than an order of an earlier placer may come late.
_WATCH_SECONDS = 30.0

_SERVING_PHASES = frozenset((MemberPhase.OPEN, MemberPhase.CLOSING))
_ReplicaEpoch = tuple[str, int]
_RankedInstance = tuple[int, ListedInstance]
_Groups = dict[_ReplicaEpoch, tuple[ListedInstance, ...]]


@attrs.define
class OrphanedReplicas:
    """The replicas of one failure domain that have no record.

    Unknown ones are searched for only for a while after ``watch`` and after
    members of replicas were listed anew, because a placer records every replica
    that it forms.
    """

    _failure_domain: str
    _fleet: Fleet
    _clock: Callable[[], float] = since_boot
    _reopened: ReopenedReplicas = attrs.field(
        default=attrs.Factory(
            lambda orphans: ReopenedReplicas(orphans._fleet, orphans._clock),
            takes_self=True,
        ),
        init=False,
    )
    _watch_until: float = attrs.field(default=float('-inf'), init=False)
    _first_seen: dict[_ReplicaEpoch, float] = attrs.field(
        factory=dict, init=False
    )

    def watch(self) -> None:
        """Start to search for orphaned replicas, for a limited time."""
        self._watch_until = self._clock() + _WATCH_SECONDS

    def update(self, records: Iterable[ReplicaRecord]) -> None:
        """Take note of the present records of the failure domain."""
        self._reopened.update(records)

    def reopened_records(self) -> list[ReplicaRecord]:
        """Return the records, as ending, of replicas that serve again."""
        return self._reopened.records()

    def members(self) -> frozenset[str]:
        """Return the members of orphaned replicas, which are not free."""
        return frozenset(
            member.id
            for members in self._unrecorded_replicas().values()
            for member in members
        ).union(self._reopened.members(), self._members_before_head())

    def records_to_adopt(self, config: RouteConfig) -> list[ReplicaRecord]:
        """Return records for the orphans that have been listed long enough.

        A replica that lacks members is recorded as ending.
        """
        orphans = self._unrecorded_replicas()
        now = self._clock()
        self._first_seen = {
            replica_epoch: self._first_seen.get(replica_epoch, now)
            for replica_epoch in orphans
        }
        return list(self._records(orphans, config, now))

    def _records(
        self,
        orphans: _Groups,
        config: RouteConfig,
        now: float,
    ) -> Iterator[ReplicaRecord]:
        for replica_epoch, members in orphans.items():
            is_complete = _is_complete(members, config)
            wait = (
                _ORPHAN_GRACE_SECONDS
                if is_complete
                else _INCOMPLETE_GRACE_SECONDS
            )
            if now - self._first_seen[replica_epoch] >= wait:
                yield _record(replica_epoch, members, is_complete)

    def _unrecorded_replicas(self) -> _Groups:
        if not self._is_searching():
            return {}
        serving = {
            (membership.replica, membership.epoch)
            for _instance, membership in self._memberships()
            if membership.phase in _SERVING_PHASES
        }
        unrecorded = frozenset(filter(self._is_unrecorded, serving))
        if not unrecorded:
            return {}
        groups: dict[_ReplicaEpoch, list[_RankedInstance]] = defaultdict(list)
        for instance, membership in self._memberships():
            replica_epoch = (membership.replica, membership.epoch)
            if replica_epoch in unrecorded:
                groups[replica_epoch].append((membership.rank, instance))
        return {
            replica_epoch: tuple(
                instance for _rank, instance in sorted(ranked, key=_rank_of)
            )
            for replica_epoch, ranked in groups.items()
        }

    def _is_searching(self) -> bool:
        listed_at = self._fleet.instance_list.new_members.last_at
        until = max(self._watch_until, listed_at + _WATCH_SECONDS)
        return self._clock() <= until

    def _members_before_head(self) -> Iterator[str]:
        """Yield members that were listed anew, but not yet with their head.

        The head may serve, so they wait until it has had time to be listed.
        """
        new_members = self._fleet.instance_list.new_members
        oldest = self._clock() - _INCOMPLETE_GRACE_SECONDS
        if new_members.last_at < oldest:
            return
        heads = {
            (membership.replica, membership.epoch)
            for _instance, membership in self._memberships()
            if membership.rank == 0
        }
        for instance, membership in self._memberships():
            replica_epoch = (membership.replica, membership.epoch)
            if (
                replica_epoch not in heads
                and new_members.listed_at(instance.id) >= oldest
                and not self._fleet.replica_records.is_recorded(replica_epoch)
            ):
                yield instance.id

    def _is_unrecorded(self, replica_epoch: _ReplicaEpoch) -> bool:
        key = record_key(self._failure_domain, replica_epoch[0])
        return not self._fleet.replica_records.has_seen(key)

    def _memberships(self) -> Iterator[tuple[ListedInstance, Membership]]:
        return (
            (instance, instance.membership)
            for instance in self._fleet.instances.values()
            if instance.membership is not None
            and instance.failure_domain == self._failure_domain
        )


def _rank_of(ranked: _RankedInstance) -> int:
    return ranked[0]


def _is_complete(
    members: Sequence[ListedInstance],
    config: RouteConfig,
) -> bool:
    """Return whether all members are present that the model declares."""
    ranks = [member.membership.rank for member in members if member.membership]
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
    replica_epoch: _ReplicaEpoch,
    members: Sequence[ListedInstance],
    is_complete: bool,
) -> ReplicaRecord:
    head = members[0]
    return ReplicaRecord(
        replica_epoch[0],
        replica_epoch[1],
        head.service,
        next(iter(head.loaded), ''),
        head.failure_domain,
        head.fabric_domain,
        tuple(member.id for member in members),
        RecordState.SERVING if is_complete else RecordState.ENDING,
        'found in the instance list without a record',
        births=tuple(member.born for member in members),
    )
