"""Table rows that preserve held requests over a restart of all nodes."""

import time
from collections.abc import Callable, Mapping, Sequence

import attrs
import msgspec

from cranecart.clocks import since_boot
from cranecart.exceptions import PlatformError
from cranecart.fleet import RECORDS_PART, RECORDS_TABLE
from cranecart.logs import UnreadableRowLog, log_decision
from cranecart.ports import Put, Row, Table, Transaction
from cranecart.quarantine._case import Case, CaseUpdate
from cranecart.quarantine._cases import CaseRegistry

_PREFIX = f'{RECORDS_TABLE}/{RECORDS_PART}/held/'
_UNREADABLE = UnreadableRowLog('held_row_unreadable')
# The node that detected the deciding termination writes the row at once. In
# case it fails, other nodes write the row if they have not read it by then.
_TAKEOVER_SECONDS = 2.0
# A row that is still missing after this time was deleted by an operator.
_WRITE_WINDOW_SECONDS = 60.0
# Far below the limit of 100 entries in a transaction; the rest waits for the
# next round.
_MAX_BATCH = 16


@attrs.frozen
class _Value:
    """The content of a row; ``held_at`` is in Unix seconds, for operators."""

    news: CaseUpdate
    node: str
    held_at: float


def held_key(identity: str) -> str:
    """Return the key of a held request's row."""
    return f'{_PREFIX}{identity}'


def held_from_rows(
    items: Mapping[str, Row | None],
) -> dict[str, CaseUpdate | None]:
    """Return the held requests among changed rows, by identity.

    A deleted row yields ``None``; an unreadable row is left out.
    """
    updates = {
        key.removeprefix(_PREFIX): row if row is None else _read(row)
        for key, row in items.items()
        if key.startswith(_PREFIX)
    }
    return {
        identity: update
        for identity, update in updates.items()
        if update is not None or items[held_key(identity)] is None
    }


def _read(row: Row) -> CaseUpdate | None:
    try:
        update = msgspec.json.decode(row.value, type=_Value).news
    except (msgspec.MsgspecError, RecursionError) as error:
        _UNREADABLE.report(row.key, str(error))
        return None
    if held_key(update.identity) != row.key:
        _UNREADABLE.report(
            row.key, 'the identity in the row differs from the one in its key'
        )
        return None
    return update


@attrs.define
class HeldRows:
    """Writes the rows of held requests, and follows their changes.

    A request is held before its row is written, so that nothing waits for the
    table.
    """

    _node_id: str
    _table: Table
    _cases: CaseRegistry
    _clock: Callable[[], float] = since_boot
    # Identities whose rows were read, and those written since: a full read
    # that is older than a write does not prove that the row was deleted.
    _read: set[str] = attrs.field(factory=set, init=False)
    _written: set[str] = attrs.field(factory=set, init=False)
    # Identities whose rows are missing from a restored table, and since when.
    _missing_since: dict[str, float] = attrs.field(factory=dict, init=False)
    _is_writing: bool = attrs.field(default=False, init=False)

    @property
    def has_pending_writes(self) -> bool:
        """Return whether rows need writing and no write is in progress."""
        return not self._is_writing and any(self._pending())

    def apply(self, items: Mapping[str, Row | None], is_complete: bool) -> None:
        """Apply changed rows, or all rows; a deleted row releases a request."""
        held = held_from_rows(items)
        deleted = [
            identity for identity, update in held.items() if update is None
        ]
        if is_complete:
            keys = {key.removeprefix(_PREFIX) for key in items}
            deleted.extend(self._read - keys)
        for identity in deleted:
            self._release(identity)
        for identity, update in held.items():
            if update is not None:
                self._read.add(identity)
                self._written.discard(identity)
                self._missing_since.pop(identity, None)
                self._cases.merge(update, is_own=False)

    def restore(self, items: Mapping[str, Row]) -> None:
        """Apply the rows of a table that was restored from a copy.

        Rows that are missing from the copy were not deleted by an operator,
        and are written again.
        """
        known = self._read | self._written
        missing = {
            identity for identity in known if held_key(identity) not in items
        }
        self._missing_since.update(dict.fromkeys(missing, self._clock()))
        self._read -= missing
        self._written -= missing
        self.apply(items, False)

    async def write(self) -> None:
        """Write and delete rows as needed."""
        if not self.has_pending_writes:
            return
        puts, deletes = self._pending()
        self._is_writing = True
        try:
            await self._commit(puts, deletes)
        finally:
            self._is_writing = False

    async def _commit(
        self,
        cases: Sequence[Case],
        deletes: Sequence[str],
    ) -> None:
        transaction = Transaction(
            (),
            tuple(map(self._make_put, cases)),
            tuple(map(held_key, deletes)),
        )
        try:
            await self._table.commit(transaction)
        except PlatformError as error:
            log_decision(
                'held_not_written', requests=len(cases), why=str(error)
            )
            return
        for case in cases:
            self._written.add(case.identity)
            self._missing_since.pop(case.identity, None)
        self._written.difference_update(deletes)
        self._read.difference_update(deletes)

    def _pending(self) -> tuple[list[Case], list[str]]:
        """Return the cases to write rows of, and the identities to delete."""
        now = self._clock()
        known = self._read | self._written
        puts = [
            case
            for case in self._cases.held()
            if case.identity not in known and self._is_due(case, now)
        ]
        deletes = [
            identity
            for identity in sorted(known)
            if not self._cases.is_hold_candidate(identity)
        ]
        return puts[:_MAX_BATCH], deletes[:_MAX_BATCH]

    def _is_due(self, case: Case, now: float) -> bool:
        since = self._missing_since.get(case.identity, case.held_at)
        age = now - (since or now)
        return age < _WRITE_WINDOW_SECONDS and (
            case.is_own or age >= _TAKEOVER_SECONDS
        )

    def _make_put(self, case: Case) -> Put:
        # Wall-clock time, as operators compare it with the logs.
        value = _Value(case.update, self._node_id, round(time.time(), 3))
        return Put(
            held_key(case.identity),
            msgspec.json.encode(value).decode(),
        )

    def _release(self, identity: str) -> None:
        """Release a request whose row an operator or a node has deleted."""
        self._read.discard(identity)
        self._written.discard(identity)
        self._missing_since.pop(identity, None)
        update = self._cases.clearing_update(identity)
        if update is not None:
            self._cases.merge(update, is_own=False)
            log_decision('request_released', identity=identity)
