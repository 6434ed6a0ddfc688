"""The replicas that placers have recorded, as one node knows them; no I/O."""

from collections.abc import Iterable, Iterator, Mapping
from types import MappingProxyType

import attrs

from cranecart.fleet._record_rows import RecordState, ReplicaRecord
from cranecart.ports import era_of

# Keys of dropped rows that are remembered; a feed is never further behind.
_MOST_DROPPED = 256

ReplicaEpoch = tuple[str, int]
# No replica that closes or ends serves again under the same name.
_PROGRESS = MappingProxyType(
    {
        RecordState.SERVING: 0,
        RecordState.CLOSING: 1,
        RecordState.ENDING: 2,
    },
)


@attrs.define
class ReplicaRecords:
    """Records by the keys of their rows, by member, and by forming."""

    records: dict[str, ReplicaRecord] = attrs.field(factory=dict, init=False)
    keys_by_member: dict[str, set[str]] = attrs.field(factory=dict, init=False)
    _keys: dict[ReplicaEpoch, str] = attrs.field(factory=dict, init=False)
    _dropped: dict[str, None] = attrs.field(factory=dict, init=False)

    def take(
        self,
        items: Mapping[str, ReplicaRecord | None],
        is_complete: bool,
        era: int = 0,
    ) -> list[str]:
        """Take over changed rows; return the keys of what has changed.

        What this node wrote itself may be newer than what it reads. Whole
        readings of a later ``era`` than a record's may come from a copy that
        lacks it: what becomes of it is for its placer to decide.
        """
        gone = [key for key, record in items.items() if record is None]
        if is_complete:
            gone.extend(
                key
                for key in self.records.keys() - items.keys()
                if era_of(self.records[key].version) >= era
            )
        for key in gone:
            self.drop(key)
        news = [
            record
            for key, record in items.items()
            if record is not None and self._is_news(key, record)
        ]
        for record in news:
            self._put(record)
        return [*gone, *(record.key for record in news)]

    def drop(self, key: str) -> None:
        """Take over that a row is gone."""
        self._unname(key)
        # A name is never used again, so what comes late of it is old.
        self._dropped[key] = None
        for oldest in list(self._dropped)[:-_MOST_DROPPED]:
            self._dropped.pop(oldest)

    def of(self, replica_epoch: ReplicaEpoch) -> ReplicaRecord | None:
        """Return the record of one forming of a replica."""
        return self.records.get(self._keys.get(replica_epoch, ''))

    def keys_with_members(self, names: Iterable[str]) -> set[str]:
        """Return the keys of records that have one of these as a member."""
        return set().union(
            *(self.keys_by_member.get(name, ()) for name in names)
        )

    def records_with_member(self, name: str) -> Iterator[ReplicaRecord]:
        """Yield the records that have an instance as a member."""
        return (self.records[key] for key in self.keys_by_member.get(name, ()))

    def has_seen(self, key: str) -> bool:
        """Tell whether there is or was a record under a key."""
        return key in self.records or key in self._dropped

    def is_recorded(self, replica_epoch: ReplicaEpoch) -> bool:
        """Tell whether there is a record of one forming of a replica."""
        return replica_epoch in self._keys

    def is_starting(self, service: str, model: str) -> bool:
        """Tell whether a replica of a model is recorded that is not open."""
        return any(
            record.service == service
            and record.model == model
            and record.state is RecordState.SERVING
            for record in self.records.values()
        )

    def _put(self, record: ReplicaRecord) -> None:
        self._unname(record.key)
        self.records[record.key] = record
        self._keys[record.name, record.epoch] = record.key
        for name in record.members:
            self.keys_by_member.setdefault(name, set()).add(record.key)

    def _unname(self, key: str) -> None:
        record = self.records.pop(key, None)
        if record is None:
            return
        self._keys.pop((record.name, record.epoch), None)
        for name in set(record.members):
            self.keys_by_member[name].discard(key)
            if not self.keys_by_member[name]:
                self.keys_by_member.pop(name)

    def _is_news(self, key: str, record: ReplicaRecord) -> bool:
        known = self.records.get(key)
        if key in self._dropped:
            return False
        if known is None:
            return True
        # A copy of the store shows a replica as it was before it closed.
        goes_back = _PROGRESS[record.state] < _PROGRESS[known.state]
        return record.version >= known.version and not goes_back
