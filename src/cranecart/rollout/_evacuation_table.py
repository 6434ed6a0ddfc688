"""Evacuations of a native deployment, stored in the table."""

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

        After a conflict or a lost answer the row shows what has happened. Raise
        ``WriteUnknownError`` if that does not become clear.
        """
        for _attempt in range(_WRITE_ATTEMPTS):
            row = (await self._table.read_keys([EVACUATIONS_KEY])).get(
                EVACUATIONS_KEY
            )
            stored = {item.failure_domain: item for item in _decode(row)}
            current = stored.get(
                failure_domain, Evacuation(failure_domain, 0, False)
            )
            if current.is_active == is_active:
                self.apply(row)
                return current
            changed = Evacuation(
                failure_domain, self._next_version(stored), is_active
            )
            stored[failure_domain] = changed
            try:
                await self._table.commit(_transaction(row, stored))
            except (WriteConflictError, WriteUnknownError):
                continue
            self._evacuations.merge([changed], 'operator')
            return changed
        raise WriteUnknownError(
            f'the evacuation of {failure_domain} may or may not be changed'
        )

    def _next_version(self, stored: dict[str, Evacuation]) -> int:
        known = (*stored.values(), *self._evacuations.known())
        return 1 + max((item.version for item in known), default=0)


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
