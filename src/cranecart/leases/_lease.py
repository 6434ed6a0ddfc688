"""A lease with a fencing number, kept in one row of the table.

No clocks are compared between machines. The holder trusts its lease for a
while that starts before it sent the renewal; everybody else waits, on its own
clock, until the row has not changed for longer than that. A process that was
paused, or whose machine was suspended, finds its own time run out when it
wakes: the clock that counts from the machine's start goes on meanwhile.

A table that comes back from a copy may lack the row, or hold that of an earlier
holder. Fencing numbers rise with the table's eras, so that none is given out
twice and each tells in which era its holder took the lease.
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
from cranecart.ports import (
    Check,
    Put,
    Row,
    Table,
    Transaction,
    era_of,
    version_in,
)

_NO_ROW_VERSION = 0
# Stands for whoever has written what is not this project's.
_UNREADABLE_HOLDER = '?'


@attrs.frozen
class LeaseTimeouts:
    """How long a lease is trusted, and how long others wait, in seconds.

    Who may be cut off from the holder waits for ``patient`` at least.
    """

    valid_seconds: float = 6.0
    takeover_seconds: float = 8.0
    isolated_takeover_seconds: float = 0


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
    _times: LeaseTimeouts = attrs.field(factory=LeaseTimeouts)
    _clock: Callable[[], float] = since_boot
    _seen: Row | None = attrs.field(default=None, init=False)
    _seen_at: float = attrs.field(default=0, init=False)
    _trusted_until: float = attrs.field(default=float('-inf'), init=False)
    _fencing: int = attrs.field(default=0, init=False)
    _taken_at: float = attrs.field(default=0, init=False)
    _has_seen_a_row: bool = attrs.field(default=False, init=False)

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

    @property
    def is_current_era(self) -> bool:
        """Tell whether the row that was seen last can be a condition."""
        return (
            self._seen is not None
            and era_of(self._seen.version) == self._table.era
        )

    def check(self) -> Check:
        """Return the condition that ties a transaction to this lease.

        Raise ``LeaseLostError`` if the lease is not held.
        """
        if not self.is_held or self._seen is None:
            raise LeaseLostError(f'{self.duty} is not held any more')
        return Check(self.key, self._seen.version)

    async def acquire_or_renew(self, *, may_be_isolated: bool = False) -> bool:
        """Renew the lease or try to take it; return whether it is held.

        Raise ``PlatformError`` when the table cannot be asked.
        """
        if self.is_held and self.is_current_era:
            await self._write(self._seen, self._fencing)
            if not self.is_held or self.is_current_era:
                return self.is_held
        await self._look()
        if self.is_held and self._was_taken_since():
            self._trusted_until = float('-inf')
        if self.is_held or self._may_take(may_be_isolated):
            await self._take()
        return self.is_held

    async def release(self) -> None:
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

    async def _take(self) -> None:
        earlier = _decode(self._seen) if self._seen else None
        fencing = version_in(self._table.era, 1)
        if earlier is not None:
            fencing = max(fencing, earlier.fencing + 1)
        await self._write(self._seen, fencing)
        if self.is_held:
            decision(
                'duty_taken',
                duty=self.duty,
                fencing=fencing,
                earlier=earlier.holder if earlier else '',
            )

    def _was_taken_since(self) -> bool:
        """Tell whether another has the lease since the table came back.

        Its fencing number is of this era then; a copy holds earlier ones.
        """
        if self._seen is None:
            return False
        found = _decode(self._seen)
        is_taken = era_of(found.fencing) == self._table.era
        return is_taken and found.holder != self.node_id

    async def _look(self) -> None:
        rows = await self._table.read_keys([self.key])
        row = rows.get(self.key)
        if row != self._seen or self._seen_at == 0:
            self._seen = row
            self._seen_at = self._clock()
        # A holder's row that a copy lacks is waited for like one that stands.
        self._has_seen_a_row = self._has_seen_a_row or row is not None

    def _may_take(self, may_be_isolated: bool) -> bool:
        if self._is_free():
            return True
        wait = self._times.takeover_seconds
        if may_be_isolated:
            wait = max(wait, self._times.isolated_takeover_seconds)
        return self._clock() - self._seen_at > wait

    def _is_free(self) -> bool:
        """Tell whether nobody can hold the lease.

        A copy may lack a holder's row, or show the lease as given up before
        its last holder took it.
        """
        if self._seen is None:
            return not self._has_seen_a_row
        found = _decode(self._seen)
        return not found.holder and era_of(found.fencing) == self._table.era

    async def _write(self, seen: Row | None, fencing: int) -> None:
        started = self._clock()
        era = self._table.era
        wanted = _Value(self.node_id, fencing, uuid.uuid4().hex)
        version = seen.version if seen else _NO_ROW_VERSION
        put = Put(self.key, _encode(wanted))
        try:
            written = await self._table.commit(
                Transaction((Check(self.key, version),), (put,)),
            )
        except WriteConflictError:
            if self._table.era == era:
                self._trusted_until = float('-inf')
                await self._look()
            return
        except WriteUnknownError:
            if self._table.era == era:
                await self._find_out(wanted, started)
            else:
                # It may have replaced the row of one who took the lease since.
                self._trusted_until = float('-inf')
            return
        self._accept(Row(self.key, written, put.value), fencing, started)

    async def _find_out(self, wanted: _Value, started: float) -> None:
        row = (await self._table.read_keys([self.key])).get(self.key)
        if row is None or _decode(row) != wanted:
            return
        if era_of(row.version) == era_of(wanted.fencing):
            self._accept(row, wanted.fencing, started)

    def _accept(self, row: Row, fencing: int, started: float) -> None:
        self._seen = row
        self._has_seen_a_row = True
        self._seen_at = started
        if fencing != self._fencing:
            self._taken_at = self._clock()
        self._fencing = fencing
        self._trusted_until = started + self._times.valid_seconds


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
