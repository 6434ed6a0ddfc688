"""The ``Table`` port, implemented on the platform's rows.

The key ``table/part/name`` is the row ``name`` in that part of that table. All
rows of a transaction have to be in the same part.
"""

from collections.abc import Iterable, Mapping

import attrs

from cranecart.exceptions import (
    HistoryLostError,
    PlatformUnavailableError,
    WriteConflictError,
    WriteUnknownError,
)
from cranecart.platform._store import StoreClient
from cranecart.platform._wire_rows import WireRow, encode_value
from cranecart.ports import (
    Changes,
    Row,
    Snapshot,
    Transaction,
    era_of,
    store_number_of,
)


@attrs.frozen
class PlatformTable:
    """Reads rows and writes them conditionally."""

    _store: StoreClient

    @property
    def era(self) -> int:
        """Return the highest era of the store's answers."""
        return self._store.era

    async def read_keys(self, keys: Iterable[str]) -> dict[str, Row]:
        """Read rows by key; absent rows are left out."""
        requested = list(keys)
        rows_by_key: dict[str, Row] = {}
        parts = {_table_and_part(key) for key in requested}
        for table, part in parts:
            rows_by_key.update(await self._read_part(table, part))
        return {
            key: rows_by_key[key] for key in requested if key in rows_by_key
        }

    async def read_prefix(self, prefix: str) -> dict[str, Row]:
        """Read all rows whose keys start with ``table/part/``."""
        rows_by_key = await self._read_part(*_table_and_part(prefix))
        return {
            key: row
            for key, row in rows_by_key.items()
            if key.startswith(prefix)
        }

    async def commit(self, transaction: Transaction) -> int:
        """Commit a transaction; return the version of its rows.

        Raise ``WriteConflictError`` for checks of versions from an earlier era:
        a restored store may have issued their numbers again for other rows.
        """
        era = self.era
        versions = filter(None, (check.version for check in transaction.checks))
        if any(era_of(version) != era for version in versions):
            raise WriteConflictError(
                'the store was restored from a backup after the rows were read'
            )
        version = await self._store.commit(_encode_transaction(transaction))
        if transaction.checks and era_of(version) != era:
            raise WriteUnknownError(
                'the store was restored from a backup during the commit'
            )
        return version

    async def _read_part(self, table: str, part: str) -> Mapping[str, Row]:
        try:
            rows = await self._store.read_part(table, part)
        except HistoryLostError as error:
            raise PlatformUnavailableError(
                f'table {table!r} cannot be read as of one version: {error}'
            ) from error
        return _decode_rows(table, rows.rows)


@attrs.frozen
class PlatformRowSource:
    """The rows of some parts of a table, as a source to follow."""

    _store: StoreClient
    _table: str
    _parts: tuple[str, ...]

    @property
    def is_receiving_changes(self) -> bool:
        """Return whether the changes waited for have begun to arrive."""
        return self._store.is_receiving_changes(self._table)

    async def snapshot(self) -> Snapshot[Row]:
        """Read all parts as of one version."""
        rows = await self._store.read_parts(self._table, self._parts)
        return Snapshot(
            rows.schema_version, _decode_rows(self._table, rows.rows)
        )

    async def changes(self, since: int, wait_seconds: float) -> Changes[Row]:
        """Wait for changed rows."""
        changed = await self._store.feed(self._table, since, wait_seconds)
        return Changes(
            changed.schema_version,
            {
                f'{self._table}/{row.part}/{row.key_file}': None
                if row.deleted
                else _decode_row(self._table, row)
                for row in changed.rows
            },
        )


def _encode_transaction(transaction: Transaction) -> dict[str, object]:
    return {
        'expectedRevision': [
            {
                **_row_address(check.key),
                'schemaVersion': store_number_of(check.version),
            }
            for check in transaction.checks
        ],
        'putCount': [
            {
                **_row_address(put.key),
                'value': encode_value(put.value.encode()),
            }
            for put in transaction.puts
        ],
        'remove': list(map(_row_address, transaction.deletes)),
    }


def _table_and_part(key: str) -> tuple[str, str]:
    table, part, _name = key.split('/', 2)
    return table, part


def _row_address(key: str) -> dict[str, str]:
    table, part, name = key.split('/', 2)
    return {'tableName': table, 'part': part, 'keyFile': name}


def _decode_rows(
    table: str,
    rows: Iterable[WireRow],
) -> Mapping[str, Row]:
    rows_by_key = (_decode_row(table, row) for row in rows)
    return {row.key: row for row in rows_by_key}


def _decode_row(table: str, row: WireRow) -> Row:
    return Row(
        f'{table}/{row.part}/{row.key_file}',
        row.schema_version,
        _decode_text(row),
    )


def _decode_text(row: WireRow) -> str:
    """Return a row's text, or '' if it is not valid base64 or UTF-8."""
    try:
        return row.decoded().decode()
    except ValueError:
        return ''
