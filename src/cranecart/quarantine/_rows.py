"""The rows by which held requests outlast every node."""

import time
from collections.abc import Callable, Mapping, Sequence

import attrs
import msgspec

from cranecart.clocks import since_boot
from cranecart.exceptions import PlatformError
from cranecart.fleet import RECORDS_PART, RECORDS_TABLE
from cranecart.logs import UnreadableRows, decision
from cranecart.ports import Put, Row, Table, Transaction
from cranecart.quarantine._cases import Case, CaseRegistry, CaseUpdate

_PREFIX = f'{RECORDS_TABLE}/{RECORDS_PART}/held/'
_UNREADABLE = UnreadableRows('held_row_unreadable')
# The node that saw the deciding end writes at once; if it died over it, any
# other does once its row would long have been read.
_OTHERS_SECONDS = 2.0
# Later a row that is not there was dropped by an operator.
_GIVEN_UP_SECONDS = 60.0
# Far below the 100 entries of a transaction; more wait for the next turn.
_MOST_AT_ONCE = 16


@attrs.frozen
class _Value:
    """What a row says; ``held_at`` is Unix seconds, for people."""

    news: CaseUpdate
    node: str
    held_at: float


def held_key(identity: str) -> str:
    """Return the key of a held request's row."""
    return f'{_PREFIX}{identity}'


def held_from_rows(
    items: Mapping[str, Row | None],
) -> dict[str, CaseUpdate | None]:
    """Return the held requests among changed rows, by their digests.

    A row that is gone names none; one that can't be read changes nothing.
    """
    found = {
        key.removeprefix(_PREFIX): row if row is None else _read(row)
        for key, row in items.items()
        if key.startswith(_PREFIX)
    }
    return {
        identity: news
        for identity, news in found.items()
        if news is not None or items[held_key(identity)] is None
    }


def _read(row: Row) -> CaseUpdate | None:
    try:
        news = msgspec.json.decode(row.value, type=_Value).news
    except (msgspec.MsgspecError, RecursionError) as error:
        _UNREADABLE.note(row.key, str(error))
        return None
    if held_key(news.identity) != row.key:
        _UNREADABLE.note(row.key, 'it is not what its key says')
        return None
    return news


@attrs.define
class HeldRows:
    """Writes the rows of held requests, and follows them.

    Nothing waits for a row: a request is held before it is written.
    """

    _node_id: str
    _table: Table
    _cases: CaseRegistry
    _clock: Callable[[], float] = since_boot
    # Digests whose rows were read, and those that were written since: a whole
    # read that is older than a write does not show that its row has gone.
    _read: set[str] = attrs.field(factory=set, init=False)
    _written: set[str] = attrs.field(factory=set, init=False)
    # Digests whose rows a copy of the table lacks, and since when.
    _missing_since: dict[str, float] = attrs.field(factory=dict, init=False)
    _is_writing: bool = attrs.field(default=False, init=False)

    @property
    def has_pending_writes(self) -> bool:
        """Tell whether there is something to write, and nobody writes."""
        return not self._is_writing and any(self._pending())

    def apply(self, items: Mapping[str, Row | None], is_whole: bool) -> None:
        """Take over changed rows, or all; a row that goes releases."""
        held = held_from_rows(items)
        gone = [one for one, news in held.items() if news is None]
        if is_whole:
            keys = {key.removeprefix(_PREFIX) for key in items}
            gone.extend(self._read - keys)
        for identity in gone:
            self._release(identity)
        for identity, news in held.items():
            if news is not None:
                self._read.add(identity)
                self._written.discard(identity)
                self._missing_since.pop(identity, None)
                self._cases.merge(news, is_own=False)

    def restore(self, items: Mapping[str, Row]) -> None:
        """Take over the rows of a table that has come back from a copy.

        What it lacks was not dropped by anybody, and is written again.
        """
        known = self._read | self._written
        lost = {one for one in known if held_key(one) not in items}
        self._missing_since.update(dict.fromkeys(lost, self._clock()))
        self._read -= lost
        self._written -= lost
        self.apply(items, False)

    async def write(self) -> None:
        """Bring the rows up to date, if anything has changed."""
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
            decision('held_not_written', requests=len(cases), why=str(error))
            return
        for case in cases:
            self._written.add(case.identity)
            self._missing_since.pop(case.identity, None)
        self._written.difference_update(deletes)
        self._read.difference_update(deletes)

    def _pending(self) -> tuple[list[Case], list[str]]:
        """Return whose rows are to be written, and whose dropped."""
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
        return puts[:_MOST_AT_ONCE], deletes[:_MOST_AT_ONCE]

    def _is_due(self, case: Case, now: float) -> bool:
        since = self._missing_since.get(case.identity, case.held_at)
        age = now - (since or now)
        return age < _GIVEN_UP_SECONDS and (
            case.is_own or age >= _OTHERS_SECONDS
        )

    def _make_put(self, case: Case) -> Put:
        # The time of day, as people read it beside the logs.
        value = _Value(case.update, self._node_id, round(time.time(), 3))
        return Put(
            held_key(case.identity),
            msgspec.json.encode(value).decode(),
        )

    def _release(self, identity: str) -> None:
        """Take over that an operator, or a node, has dropped a row."""
        self._read.discard(identity)
        self._written.discard(identity)
        self._missing_since.pop(identity, None)
        news = self._cases.clearing_update(identity)
        if news is not None:
            self._cases.merge(news, is_own=False)
            decision('request_released', identity=identity)
