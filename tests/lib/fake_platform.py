"""An in-memory table with faults that a test chooses for each commit."""

from collections.abc import Iterable, Iterator

import attrs

from cranecart.exceptions import (
    PlatformUnavailableError,
    WriteConflictError,
    WriteUnknownError,
)
from cranecart.ports import Put, Row, Transaction, make_version, store_number_of

NO_FAULT = 'fine'
REFUSED = 'refused'
LOST_RESPONSE = 'lost answer'
LOST_WRITE = 'lost write'
FAULTS = (NO_FAULT, NO_FAULT, REFUSED, LOST_RESPONSE, LOST_WRITE)


@attrs.define
class FakePlatform:
    """A substitute for the table client.

    The next commits take their faults from ``faults``; ``down`` fails all
    calls.
    """

    rows: dict[str, Row] = attrs.field(factory=dict)
    version: int = 0
    era: int = 0
    faults: Iterator[str] = attrs.field(factory=lambda: iter(()))
    down: bool = False

    async def read_keys(self, keys: Iterable[str]) -> dict[str, Row]:
        """Read rows by key."""
        self._fail_if_down()
        return {key: self.rows[key] for key in keys if key in self.rows}

    async def read_key(self, key: str) -> Row | None:
        """Read one row."""
        return (await self.read_keys([key])).get(key)

    async def read_prefix(self, prefix: str) -> dict[str, Row]:
        """Read rows whose key has a prefix."""
        self._fail_if_down()
        return {
            key: row for key, row in self.rows.items() if key.startswith(prefix)
        }

    async def commit(self, transaction: Transaction) -> int:
        """Commit a transaction, subject to the next fault."""
        self._fail_if_down()
        fault = next(self.faults, NO_FAULT)
        if fault == REFUSED:
            raise PlatformUnavailableError(fault)
        if fault == LOST_WRITE:
            raise WriteUnknownError(fault)
        self._apply(transaction)
        if fault == LOST_RESPONSE:
            raise WriteUnknownError(fault)
        return self.version

    def snapshot_rows(self) -> tuple[int, dict[str, Row]]:
        """Return a snapshot: the version number and the rows."""
        return store_number_of(self.version), dict(self.rows)

    def restore(self, snapshot: tuple[int, dict[str, Row]]) -> None:
        """Restore a snapshot in a new era; version numbers are reused."""
        self.era += 1
        self.version = make_version(self.era, snapshot[0])
        self.rows = {
            key: attrs.evolve(
                row,
                version=make_version(self.era, store_number_of(row.version)),
            )
            for key, row in snapshot[1].items()
        }

    def _apply(self, transaction: Transaction) -> None:
        for check in transaction.checks:
            absent = Row(check.key, 0, '')
            if self.rows.get(check.key, absent).version != check.version:
                raise WriteConflictError(check.key)
        self.version += 1
        self.rows.update(map(self._row, transaction.puts))
        for key in transaction.deletes:
            self.rows.pop(key, None)

    def _row(self, put: Put) -> tuple[str, Row]:
        return put.key, Row(put.key, self.version, put.value)

    def _fail_if_down(self) -> None:
        if self.down:
            raise PlatformUnavailableError('the fake platform is down')
