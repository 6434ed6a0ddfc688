"""Read and write the replica records of one failure domain."""

from collections.abc import Mapping, Sequence

import attrs

from cranecart.exceptions import WriteUnknownError
from cranecart.fleet import (
    Fleet,
    ReplicaRecord,
    record_from_row,
    records_prefix,
)
from cranecart.grouping._plan_types import NewReplica
from cranecart.leases import Lease
from cranecart.logs import log_decision
from cranecart.ports import Put, Table, Transaction, era_of

# Well below the limit of a hundred entries per transaction.
_MAX_ROWS_PER_TRANSACTION = 50


@attrs.define
class RecordStore:
    """The replica records of a failure domain, written under its lease."""

    failure_domain: str
    lease: Lease
    _table: Table
    _fleet: Fleet
    _epoch: int = attrs.field(default=0, init=False)
    _read_era: int | None = attrs.field(default=None, init=False)

    @property
    def is_stale(self) -> bool:
        """Return whether rows must be read before anything is written."""
        return self._read_era != era_of(self.lease.version)

    def records(self) -> list[ReplicaRecord]:
        """Return the records of the failure domain."""
        return [
            record
            for record in self._fleet.records.values()
            if record.failure_domain == self.failure_domain
        ]

    def invalidate(self) -> None:
        """Require a read, because another placer may have written rows."""
        self._read_era = None

    async def read(self) -> None:
        """Read all rows; raise ``PlatformError`` or ``LeaseLostError``.

        If the table was restored from a copy, write the records that it lacks
        and delete those that reappeared, which requires the lease.
        """
        prefix = records_prefix(self.failure_domain)
        rows = await self._table.read_prefix(prefix)
        stored = {key: record_from_row(row) for key, row in rows.items()}
        for record in self.records():
            if record.key not in rows and not self._predates_restore(record):
                self._fleet.apply_records({record.key: None}, False)
        self._fleet.apply_records(
            {
                key: record
                for key, record in stored.items()
                if record is not None
            },
            False,
        )
        await self._rewrite_missing()
        await self._delete_resurrected(stored)
        self._read_era = era_of(self.lease.version)

    async def write(self, records: Sequence[ReplicaRecord]) -> None:
        """Write records; raise ``PlatformError`` or ``LeaseLostError``."""
        puts = tuple(Put(record.key, record.encoded()) for record in records)
        try:
            version = await self._table.commit(
                Transaction((self.lease.check(),), puts),
            )
        except WriteUnknownError:
            # The renewal changes the lease's row, so a pending commit can no
            # longer succeed and what is read afterwards is final.
            await self.lease.acquire_or_renew()
            await self.read()
            raise
        self._fleet.apply_records(
            {
                record.key: attrs.evolve(record, version=version)
                for record in records
            },
            False,
        )
        self._epoch = max(self._epoch, version)
        for record in records:
            self._log(record, version)

    async def delete(self, record: ReplicaRecord) -> None:
        """Delete a record; raise ``PlatformError`` or ``LeaseLostError``."""
        await self._table.commit(
            Transaction((self.lease.check(),), (), (record.key,)),
        )
        self._fleet.apply_records({record.key: None}, False)

    def new_record(self, new: NewReplica, loads: int) -> ReplicaRecord:
        """Return the record of a replica to form, under a new epoch.

        The epoch is above all epochs that this placer or an earlier one has
        used, because the lease's row was written after those.
        """
        self._epoch = max(self._epoch, self.lease.version) + 1
        return ReplicaRecord(
            f'{new.fabric_domain}-{self._epoch}',
            self._epoch,
            new.service,
            new.model,
            self.failure_domain,
            new.fabric_domain,
            tuple(member.id for member in new.members),
            reason=f'{new.cold_members} members must load',
            loads=loads,
            births=tuple(member.born for member in new.members),
        )

    async def _rewrite_missing(self) -> None:
        """Write the records that a copy lacks or holds in an earlier state."""
        missing = [
            record
            for record in self.records()
            if self._predates_restore(record)
        ]
        for start in range(0, len(missing), _MAX_ROWS_PER_TRANSACTION):
            await self.write(missing[start : start + _MAX_ROWS_PER_TRANSACTION])
        if missing:
            names = [record.name for record in missing]
            log_decision('records_written_again', replicas=names)

    async def _delete_resurrected(
        self,
        stored: Mapping[str, ReplicaRecord | None],
    ) -> None:
        """Delete rows that had been deleted before the table was restored."""
        known = self._fleet.records
        resurrected = [
            key
            for key, record in stored.items()
            if record is not None and key not in known
        ]
        for start in range(0, len(resurrected), _MAX_ROWS_PER_TRANSACTION):
            keys = tuple(resurrected[start : start + _MAX_ROWS_PER_TRANSACTION])
            await self._table.commit(
                Transaction((self.lease.check(),), (), keys),
            )
        if resurrected:
            log_decision('records_set_aside', rows=resurrected)

    def _predates_restore(self, record: ReplicaRecord) -> bool:
        """Return whether a record was written before the last restore."""
        return era_of(record.version) < era_of(self.lease.version)

    def _log(self, record: ReplicaRecord, version: int) -> None:
        log_decision(
            'placed',
            replica=record.name,
            epoch=record.epoch,
            model=record.model,
            members=record.members,
            state=record.state.value,
            why=record.reason,
            fencing=self.lease.fencing,
            version=version,
        )
