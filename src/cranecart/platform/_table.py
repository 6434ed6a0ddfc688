"""Rows and transactions of the table service."""

import attrs


@attrs.frozen
class Row:
    """One row; ``version`` changes with every write, 0 means no row."""

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
