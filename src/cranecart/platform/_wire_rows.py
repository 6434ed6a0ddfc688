"""Rows of the platform's tables, as they are sent, and their values."""

import base64
from typing import Any

import msgspec

from cranecart.exceptions import PlatformUnavailableError
from cranecart.ports import make_version


class WireRow(msgspec.Struct, rename='camel'):
    """A row; ``keyFile`` is its key and ``schemaVersion`` its version.

    In the rows that ``StoreClient`` returns, the version includes the era, so
    that it never decreases.
    """

    key_file: str
    table_name: str = ''
    part: str = ''
    value: str = ''
    schema_version: int = 0
    deleted: bool = False

    def decoded(self) -> bytes:
        """Return the row's value, decoded from base64."""
        return base64.b64decode(self.value)


class WireRows(msgspec.Struct, rename='camel'):
    """Rows read at one time; ``schemaVersion`` is the table's version."""

    schema_version: int
    rows: list[WireRow]
    truncated: bool = False

    def add_era(self, era: int) -> 'WireRows':
        """Add the era to all versions; return the rows."""
        self.schema_version = make_version(era, self.schema_version)
        for row in self.rows:
            row.schema_version = make_version(era, row.schema_version)
        return self


def encode_value(value: bytes) -> str:
    """Return a row's value, encoded as base64."""
    return base64.b64encode(value).decode()


def decode_row(row: WireRow, message_type: Any) -> Any:
    """Decode a row's value; raise ``PlatformUnavailableError`` if invalid.

    Fields that are null are treated as missing.
    """
    try:
        return _decode_value(row.decoded(), message_type)
    except (ValueError, RecursionError, msgspec.MsgspecError) as error:
        raise PlatformUnavailableError(
            f'row {row.key_file!r} cannot be read: {error}',
        ) from error


def _decode_value(value: bytes, message_type: Any) -> Any:
    try:
        return msgspec.json.decode(value, type=message_type)
    except msgspec.ValidationError:
        # Nulls are rare, and removing them needs a second pass.
        without_nulls = _without_nulls(msgspec.json.decode(value))
        return msgspec.convert(without_nulls, message_type)


def _without_nulls(value: object) -> object:
    match value:
        case dict():
            return {
                key: _without_nulls(inner)
                for key, inner in value.items()
                if inner is not None
            }
        case list():
            return [
                _without_nulls(inner) for inner in value if inner is not None
            ]
    return value
