"""The product's table on the platform's rows.

A key ``table/part/name`` of the product is the row ``name`` of that part of
that table; what a transaction holds lies in one part.
"""

from collections.abc import Iterable, Mapping

import attrs

from cranecart.exceptions import WriteConflictError, WriteUnknownError
from cranecart.platform._store import StoreClient, WireRow, encode_value
from cranecart.ports import (
    Changes,
    Row,
    Snapshot,
    Transaction,
    era_of,
    number_of,
)


@attrs.frozen
class PlatformTable:
    """Reads and conditional writes of the product's own rows."""

    _store: StoreClient

    @property
    def era(self) -> int:
        """Return the latest era of the store's answers."""
        return self._store.era

    async def read_keys(self, keys: Iterable[str]) -> dict[str, Row]:
        """Read rows by key; absent rows are left out."""
        wanted = list(keys)
        found: dict[str, Row] = {}
        places = {_place(key) for key in wanted}
        for table, part in places:
            rows = await self._store.read_part(table, part)
            found.update(_rows(table, part, rows.rows))
        return {key: found[key] for key in wanted if key in found}

    async def read_prefix(self, prefix: str) -> dict[str, Row]:
        """Read all rows whose keys start with ``table/part/``."""
        table, part = _place(prefix)
        rows = await self._store.read_part(table, part)
        found = _rows(table, part, rows.rows)
        return {
            key: row for key, row in found.items() if key.startswith(prefix)
        }

    async def commit(self, transaction: Transaction) -> int:
        """Write a transaction; return the version that its rows got.

        Conditions of an earlier era may be met by other rows that got the same
        numbers since.
        """
        era = self.era
        versions = filter(None, (one.version for one in transaction.checks))
        if any(era_of(version) != era for version in versions):
            raise WriteConflictError('the store has come back from a copy')
        version = await self._store.commit(_body(transaction))
        if transaction.checks and era_of(version) != era:
            raise WriteUnknownError('the store came back from a copy meanwhile')
        return version


@attrs.frozen
class PlatformRowSource:
    """All rows of one of the product's tables, to be followed."""

    _store: StoreClient
    _table: str
    _parts: tuple[str, ...]

    async def snapshot(self) -> Snapshot[Row]:
        """Read every part; the oldest of their versions goes with it."""
        versions = []
        found: dict[str, Row] = {}
        for part in self._parts:
            rows = await self._store.read_part(self._table, part)
            versions.append(rows.schema_version)
            found.update(_rows(self._table, part, rows.rows))
        return Snapshot(min(versions), found)

    async def changes(self, since: int, wait_seconds: float) -> Changes[Row]:
        """Wait for changed rows."""
        changed = await self._store.feed(self._table, since, wait_seconds)
        return Changes(
            changed.schema_version,
            {
                f'{self._table}/{row.part}/{row.key_file}': None
                if row.deleted
                else _row(self._table, row.part, row)
                for row in changed.rows
            },
        )


def _body(transaction: Transaction) -> dict[str, object]:
    return {
        'expectedRevision': [
            {
                **_address(check.key),
                'schemaVersion': number_of(check.version),
            }
            for check in transaction.checks
        ],
        'putCount': [
            {
                **_address(put.key),
                'value': encode_value(put.value.encode()),
            }
            for put in transaction.puts
        ],
        'remove': list(map(_address, transaction.deletes)),
    }


def _place(key: str) -> tuple[str, str]:
    table, part, _name = key.split('/', 2)
    return table, part


def _address(key: str) -> dict[str, str]:
    table, part, name = key.split('/', 2)
    return {'tableName': table, 'part': part, 'keyFile': name}


def _rows(
    table: str,
    part: str,
    rows: Iterable[WireRow],
) -> Mapping[str, Row]:
    found = (_row(table, part, row) for row in rows)
    return {row.key: row for row in found}


def _row(table: str, part: str, row: WireRow) -> Row:
    return Row(
        f'{table}/{part}/{row.key_file}',
        row.schema_version,
        _text(row),
    )


def _text(row: WireRow) -> str:
    """Return a row's text; whatever is none says nothing to its reader."""
    try:
        return row.decoded().decode()
    except ValueError:
        return ''
