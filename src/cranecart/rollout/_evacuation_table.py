"""Evacuations of a native deployment, stored in the table."""

from collections.abc import Iterable

import attrs
import msgspec

from cranecart.exceptions import (
    PlatformUnavailableError,
    WriteConflictError,
    WriteUnknownError,
)
from cranecart.fleet import Evacuations
from cranecart.logs import log_decision
from cranecart.models import Evacuation
from cranecart.ports import Check, Put, Row, Table, Transaction

EVACUATIONS_KEY = 'evacuations'
# Enough for several operators at once and for lost answers.
_WRITE_ATTEMPTS = 5


@attrs.define
class EvacuationTable:
    """Reads and changes the row that holds all evacuations.

    It is a single row, so that following it takes no call beside that for the
    configuration. Ended evacuations stay in it: a node that was cut off cannot
    bring them back.
    """

    _table: Table
    _evacuations: Evacuations

    def apply(self, row: Row | None) -> None:
        """Apply the row as it was read; an unreadable one changes nothing."""
        try:
            self._evacuations.merge(_decode(row), 'store')
        except PlatformUnavailableError as error:
            log_decision('evacuations_unreadable', why=str(error))

    async def change(self, failure_domain: str, is_active: bool) -> Evacuation:
        """Start or end an evacuation; return its new or unchanged state.

        If the table was restored from an earlier copy, the nodes keep newer
        states than the row has. These count here, and are written again.
        After a conflict or a lost answer the row shows what has happened. Raise
        ``WriteUnknownError`` if that does not become clear.
        """
        for _attempt in range(_WRITE_ATTEMPTS):
            row = (await self._table.read_keys([EVACUATIONS_KEY])).get(
                EVACUATIONS_KEY
            )
            # Also fails if the row is unreadable, so as not to overwrite it.
            stored = _by_domain(_decode(row))
            self._evacuations.merge(stored.values(), 'store')
            newest = _by_domain(self._evacuations.known())
            unchanged = Evacuation(failure_domain, 0, False)
            current = newest.get(failure_domain, unchanged)
            is_stored = stored.get(failure_domain, unchanged) == current
            if is_stored and current.is_active == is_active:
                return current
            changed = Evacuation(
                failure_domain, _next_version(newest.values()), is_active
            )
            newest[failure_domain] = changed
            try:
                await self._table.commit(_transaction(row, newest))
            except (WriteConflictError, WriteUnknownError):
                continue
            self._evacuations.merge([changed], 'operator')
            return changed
        raise WriteUnknownError(
            f'the evacuation of {failure_domain} may or may not be changed'
        )


def _by_domain(evacuations: Iterable[Evacuation]) -> dict[str, Evacuation]:
    return {item.failure_domain: item for item in evacuations}


def _next_version(evacuations: Iterable[Evacuation]) -> int:
    return 1 + max((item.version for item in evacuations), default=0)


def _transaction(
    row: Row | None, evacuations: dict[str, Evacuation]
) -> Transaction:
    value = msgspec.json.encode(tuple(evacuations.values())).decode()
    return Transaction(
        (Check(EVACUATIONS_KEY, row.version if row else 0),),
        (Put(EVACUATIONS_KEY, value),),
    )


def _decode(row: Row | None) -> tuple[Evacuation, ...]:
    if row is None:
        return ()
    try:
        return msgspec.json.decode(row.value, type=tuple[Evacuation, ...])
    except msgspec.MsgspecError as error:
        raise PlatformUnavailableError(
            f'row {row.key!r} cannot be read: {error}'
        ) from error
