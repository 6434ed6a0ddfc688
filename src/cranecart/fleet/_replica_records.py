"""One node's copy of the replica records that placers write; no I/O."""

from collections.abc import Collection, Iterable, Iterator, Mapping
from types import MappingProxyType

import attrs

from cranecart.fleet._record_rows import RecordState, ReplicaRecord
from cranecart.ports import era_of

# How many keys of deleted rows are remembered. No feed lags by more rows.
_MAX_DROPPED_KEYS = 256

ReplicaEpoch = tuple[str, int]
# A replica that is closing or ending never serves again under the same name.
_STATE_ORDER = MappingProxyType(
    {
        RecordState.SERVING: 0,
        RecordState.CLOSING: 1,
        RecordState.ENDING: 2,
    },
)


@attrs.define
class ReplicaRecords:
    """Replica records by row key, with indexes by member and replica epoch."""

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
        """Apply changed rows; return the keys of the records that changed.

        Records that this node wrote itself may be newer than what it reads. A
        snapshot of a later ``era`` than that of a record may come from a
        restored store that has lost the record. Such a record is kept, as its
        placer decides what to do with it.
        """
        removed = [key for key, record in items.items() if record is None]
        if is_complete:
            removed.extend(
                key
                for key in self.records.keys() - items.keys()
                if era_of(self.records[key].version) >= era
            )
        for key in removed:
            self.drop(key)
        changed = [
            record
            for key, record in items.items()
            if record is not None and self._is_newer(key, record)
        ]
        for record in changed:
            self._put(record)
        return [*removed, *(record.key for record in changed)]

    def drop(self, key: str) -> None:
        """Remove the record of a deleted row."""
        self._remove(key)
        # Names are never reused, so later updates of this key are outdated.
        self._dropped[key] = None
        for oldest in list(self._dropped)[:-_MAX_DROPPED_KEYS]:
            self._dropped.pop(oldest)

    def of(self, replica_epoch: ReplicaEpoch) -> ReplicaRecord | None:
        """Return the record of a replica epoch."""
        return self.records.get(self._keys.get(replica_epoch, ''))

    def keys_with_members(self, names: Iterable[str]) -> set[str]:
        """Return the keys of records with any of these instances as a member."""
        return set().union(
            *(self.keys_by_member.get(name, ()) for name in names)
        )

    def records_with_member(self, name: str) -> Iterator[ReplicaRecord]:
        """Return the records that have an instance as a member."""
        return (self.records[key] for key in self.keys_by_member.get(name, ()))

    def has_seen(self, key: str) -> bool:
        """Return whether there is or recently was a record under a key."""
        return key in self.records or key in self._dropped

    def is_recorded(self, replica_epoch: ReplicaEpoch) -> bool:
        """Return whether there is a record of a replica epoch."""
        return replica_epoch in self._keys

    def is_starting(
        self, service: str, model: str, evacuated: Collection[str] = ()
    ) -> bool:
        """Return whether a replica of a model is recorded as due to serve.

        Replicas in ``evacuated`` failure domains will not serve soon.
        """
        return any(
            record.service == service
            and record.model == model
            and record.state is RecordState.SERVING
            and record.failure_domain not in evacuated
            for record in self.records.values()
        )

    def _put(self, record: ReplicaRecord) -> None:
        self._remove(record.key)
        self.records[record.key] = record
        self._keys[record.name, record.epoch] = record.key
        for name in record.members:
            self.keys_by_member.setdefault(name, set()).add(record.key)

    def _remove(self, key: str) -> None:
        record = self.records.pop(key, None)
        if record is None:
            return
        self._keys.pop((record.name, record.epoch), None)
        for name in set(record.members):
            self.keys_by_member[name].discard(key)
            if not self.keys_by_member[name]:
                self.keys_by_member.pop(name)

    def _is_newer(self, key: str, record: ReplicaRecord) -> bool:
        known = self.records.get(key)
        if key in self._dropped:
            return False
        if known is None:
            return True
        # A restored store may show a replica as it was before it closed.
        is_regression = _STATE_ORDER[record.state] < _STATE_ORDER[known.state]
        return record.version >= known.version and not is_regression
