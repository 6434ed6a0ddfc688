"""Rows and conditional transactions of the table service."""

from collections.abc import Iterable, Mapping
from typing import Protocol

import attrs


@attrs.frozen
class Row:
    """One row; ``version`` changes with every write, 0 means no row.

    The table has other writers: a value may contain any text, and is empty if
    the stored value is not text.
    """

    key: str
    version: int
    value: str


@attrs.frozen
class Check:
    """A precondition of a transaction: the row still has this version."""

    key: str
    version: int = 0


@attrs.frozen
class Put:
    """A row that a transaction writes."""

    key: str
    value: str


@attrs.frozen
class Transaction:
    """Writes that are applied atomically if every check succeeds."""

    checks: tuple[Check, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


class Table(Protocol):
    """Durable rows, changed by conditional transactions.

    Every method raises ``PlatformUnavailableError`` if nothing was done.
    """

    @property
    def era(self) -> int:
        """Return the latest era seen in the table's responses.

        It rises when the table has been restored from a backup.
        """

    async def read_keys(self, keys: Iterable[str]) -> Mapping[str, Row]:
        """Read rows by key; absent rows are left out."""

    async def read_prefix(self, prefix: str) -> Mapping[str, Row]:
        """Read all rows whose keys start with a prefix."""

    async def commit(self, transaction: Transaction) -> int:
        """Write a transaction; return the version of the written rows.

        Raise ``WriteConflictError`` if a check fails or is of an earlier era,
        and ``WriteUnknownError`` if the outcome is unknown.
        """
