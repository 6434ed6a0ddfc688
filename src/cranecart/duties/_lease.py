"""A lease with a fencing number, kept in one row of the table.

No clocks are compared between machines. The holder trusts its lease for a
while that starts before it sent the renewal; everybody else waits, on its own
clock, until the row has not changed for longer than that. A process that was
paused, or whose machine was suspended, finds its own time run out when it
wakes: the clock that counts from the machine's start goes on meanwhile.
"""

import uuid
from collections.abc import Callable

import attrs
import msgspec

from cranecart.clocks import since_boot
from cranecart.exceptions import (
    LeaseLostError,
    PlatformError,
    WriteConflictError,
    WriteUnknownError,
)
from cranecart.logs import decision
from cranecart.ports import Check, Put, Row, Table, Transaction

_NO_ROW_VERSION = 0
# Stands for whoever has written what is not this project's.
_UNREADABLE_HOLDER = '?'


@attrs.frozen
class LeaseTimes:
    """How long a lease is trusted, and how long others wait, in seconds.

    Who may be cut off from the holder waits for ``patient`` at least.
    """

    trusted: float = 6.0
    takeover: float = 8.0
    patient: float = 0


@attrs.frozen
class _Value:
    holder: str
    fencing: int
    nonce: str


@attrs.define
class Lease:
    """One node's view of one duty's lease."""

    duty: str
    node_id: str
    _table: Table
    _times: LeaseTimes = attrs.field(factory=LeaseTimes)
    _clock: Callable[[], float] = since_boot
    _seen: Row | None = attrs.field(default=None, init=False)
    _seen_at: float = attrs.field(default=0, init=False)
    _trusted_until: float = attrs.field(default=float('-inf'), init=False)
    _fencing: int = attrs.field(default=0, init=False)
    _taken_at: float = attrs.field(default=0, init=False)

    @property
    def key(self) -> str:
        """Return the key of the lease's row."""
        return f'lease/{self.duty}'

    @property
    def is_held(self) -> bool:
        """Tell whether this node may act for the duty right now."""
        return self._clock() < self._trusted_until

    @property
    def held_seconds(self) -> float:
        """Return for how long this holder has had the lease."""
        return self._clock() - self._taken_at if self.is_held else 0

    @property
    def fencing(self) -> int:
        """Return the number that goes with every order of this holder."""
        return self._fencing

    @property
    def version(self) -> int:
        """Return the version of the lease's row as it was seen last."""
        return self._seen.version if self._seen else _NO_ROW_VERSION

    @property
    def holder(self) -> str:
        """Return who held the lease when the row was seen last."""
        return _decode(self._seen).holder if self._seen else ''

    def check(self) -> Check:
        """Return the condition that ties a transaction to this lease.

        Raise ``LeaseLostError`` if the lease is not held.
        """
        if not self.is_held or self._seen is None:
            raise LeaseLostError(f'{self.duty} is not held any more')
        return Check(self.key, self._seen.version)

    async def keep(self, *, is_patient: bool = False) -> bool:
        """Renew the lease or try to take it; return whether it is held.

        Raise ``PlatformError`` when the table cannot be asked.
        """
        if self.is_held and self._seen is not None:
            await self._write(self._seen, self._fencing)
            return self.is_held
        await self._look()
        if self._may_take(is_patient):
            earlier = _decode(self._seen) if self._seen else None
            fencing = earlier.fencing + 1 if earlier else 1
            await self._write(self._seen, fencing)
            if self.is_held:
                decision(
                    'duty_taken',
                    duty=self.duty,
                    fencing=fencing,
                    earlier=earlier.holder if earlier else '',
                )
        return self.is_held

    async def hand_over(self) -> None:
        """Give the lease up, so that the next holder need not wait."""
        if not self.is_held or self._seen is None:
            return
        seen = self._seen
        self._trusted_until = float('-inf')
        released = _Value('', self._fencing, uuid.uuid4().hex)
        try:
            await self._table.commit(
                Transaction(
                    (Check(self.key, seen.version),),
                    (Put(self.key, _encode(released)),),
                ),
            )
        except PlatformError as error:
            decision('duty_not_handed_over', duty=self.duty, why=str(error))
        else:
            decision('duty_handed_over', duty=self.duty)

    async def _look(self) -> None:
        rows = await self._table.read_keys([self.key])
        row = rows.get(self.key)
        if row != self._seen or self._seen_at == 0:
            self._seen = row
            self._seen_at = self._clock()

    def _may_take(self, is_patient: bool) -> bool:
        if self._seen is None or not _decode(self._seen).holder:
            return True
        wait = self._times.takeover
        if is_patient:
            wait = max(wait, self._times.patient)
        return self._clock() - self._seen_at > wait

    async def _write(self, seen: Row | None, fencing: int) -> None:
        started = self._clock()
        wanted = _Value(self.node_id, fencing, uuid.uuid4().hex)
        version = seen.version if seen else _NO_ROW_VERSION
        put = Put(self.key, _encode(wanted))
        try:
            written = await self._table.commit(
                Transaction((Check(self.key, version),), (put,)),
            )
        except WriteConflictError:
            self._trusted_until = float('-inf')
            await self._look()
            return
        except WriteUnknownError:
            await self._find_out(wanted, started)
            return
        self._accept(Row(self.key, written, put.value), fencing, started)

    async def _find_out(self, wanted: _Value, started: float) -> None:
        row = (await self._table.read_keys([self.key])).get(self.key)
        if row is not None and _decode(row) == wanted:
            self._accept(row, wanted.fencing, started)

    def _accept(self, row: Row, fencing: int, started: float) -> None:
        self._seen = row
        self._seen_at = started
        if fencing != self._fencing:
            self._taken_at = self._clock()
        self._fencing = fencing
        self._trusted_until = started + self._times.trusted


def _encode(value: _Value) -> str:
    return msgspec.json.encode(value).decode()


def _decode(row: Row) -> _Value:
    """Return what a lease's row says; one that can't be read has a holder.

    It is waited for like any other. The fencing number after it has to be above
    all that were used: the row's version rises faster than they do.
    """
    try:
        return msgspec.json.decode(row.value, type=_Value)
    except (msgspec.MsgspecError, RecursionError):
        return _Value(_UNREADABLE_HOLDER, row.version, '')
