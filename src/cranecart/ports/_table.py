"""Rows and transactions of the table service."""

from collections.abc import Iterable, Mapping
from typing import Protocol

import attrs


@attrs.frozen
class Row:
    """One row; ``version`` changes with every write, 0 means no row.

    The table has other writers: a value may be anything, and is empty where it
    is no text.
    """

    key: str
    version: int
    value: str


@attrs.frozen
class Check:
    """A condition of a transaction: the row still has this version."""

    key: str
    version: int = 0


@attrs.frozen
class Put:
    """A row that a transaction writes."""

    key: str
    value: str


@attrs.frozen
class Transaction:
    """Writes that happen together, and only if every check holds."""

    checks: tuple[Check, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


class Table(Protocol):
    """Rows that outlast every node, changed by conditional transactions.

    Every method raises ``PlatformUnavailableError`` where nothing was done.
    """

    @property
    def era(self) -> int:
        """Return the latest era that the table has answered in.

        It rises when the table has come back from a copy.
        """

    async def read_keys(self, keys: Iterable[str]) -> Mapping[str, Row]:
        """Read rows by key; absent rows are left out."""

    async def read_prefix(self, prefix: str) -> Mapping[str, Row]:
        """Read all rows whose keys start with a prefix."""

    async def commit(self, transaction: Transaction) -> int:
        """Write a transaction; return the version that its rows got.

        Raise ``WriteConflictError`` if a check does not hold, or is of an
        earlier era, and ``WriteUnknownError`` where nobody can tell whether
        it was done.
        """
