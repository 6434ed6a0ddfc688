"""A table in memory whose faults a test decides, call by call."""

from collections.abc import Iterable, Iterator

import attrs

from cranecart.exceptions import (
    PlatformUnavailableError,
    WriteConflictError,
    WriteUnknownError,
)
from cranecart.ports import Put, Row, Transaction, make_version, store_number_of

FINE = 'fine'
REFUSED = 'refused'
LOST_ANSWER = 'lost answer'
LOST_WRITE = 'lost write'
FAULTS = (FINE, FINE, REFUSED, LOST_ANSWER, LOST_WRITE)


@attrs.define
class FakePlatform:
    """Stands in for a table client where only the table is used."""

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
        """Read rows behind a prefix."""
        self._fail_if_down()
        return {
            key: row for key, row in self.rows.items() if key.startswith(prefix)
        }

    async def commit(self, transaction: Transaction) -> int:
        """Write a transaction, as far as the next fault allows."""
        self._fail_if_down()
        fault = next(self.faults, FINE)
        if fault == REFUSED:
            raise PlatformUnavailableError(fault)
        if fault == LOST_WRITE:
            raise WriteUnknownError(fault)
        self._apply(transaction)
        if fault == LOST_ANSWER:
            raise WriteUnknownError(fault)
        return self.version

    def copied(self) -> tuple[int, dict[str, Row]]:
        """Return a copy of what the table holds now."""
        return store_number_of(self.version), dict(self.rows)

    def restore(self, earlier: tuple[int, dict[str, Row]]) -> None:
        """Come back from a copy: versions are given out again."""
        self.era += 1
        self.version = make_version(self.era, earlier[0])
        self.rows = {
            key: attrs.evolve(
                row,
                version=make_version(self.era, store_number_of(row.version)),
            )
            for key, row in earlier[1].items()
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
            raise PlatformUnavailableError('down')
