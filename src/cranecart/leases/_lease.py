"""A lease with a fencing token, stored in one row of the table.

Clocks of different machines are never compared. The holder considers its lease
valid for a period that starts before it sent the renewal. All other nodes
wait, on their own clocks, until the row has not changed for longer than that.
A process that was paused, or whose machine was suspended, finds its lease
expired when it resumes, because the boot-time clock keeps running meanwhile.

A table that was restored from a backup may lack the row, or contain the row of
an earlier holder. Each restore begins a new era of the table. Fencing tokens
increase with the era, so that none is issued twice and each shows in which era
its holder acquired the lease. A holder may advance its token, so that orders
that it has sent before are refused.
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
from cranecart.logs import log_decision
from cranecart.ports import (
    Check,
    CounterInt,
    Put,
    Row,
    Table,
    Transaction,
    era_of,
    make_version,
)

_NO_ROW_VERSION = 0
# By how much the token of a new holder exceeds the last one written: far more
# than a holder advances it between two renewals, which write it.
_FENCING_STEP = 1_000_000
# The holder of a row that some other program wrote and that cannot be decoded.
_UNREADABLE_HOLDER = '?'


@attrs.frozen
class LeaseTimeouts:
    """How long a lease is valid, and how long others wait, in seconds.

    A node that may be partitioned from the holder waits at least for
    ``isolated_takeover_seconds``.
    """

    valid_seconds: float = 6.0
    takeover_seconds: float = 8.0
    isolated_takeover_seconds: float = 0


@attrs.frozen
class _LeaseValue:
    holder: str
    fencing: CounterInt
    nonce: str


@attrs.define
class Lease:
    """One node's view of one duty's lease."""

    duty: str
    node_id: str
    _table: Table
    _timeouts: LeaseTimeouts = attrs.field(factory=LeaseTimeouts)
    _clock: Callable[[], float] = since_boot
    _last_row: Row | None = attrs.field(default=None, init=False)
    _last_row_at: float = attrs.field(default=0, init=False)
    _valid_until: float = attrs.field(default=float('-inf'), init=False)
    _fencing: int = attrs.field(default=0, init=False)
    _acquired_at: float = attrs.field(default=0, init=False)
    _has_seen_row: bool = attrs.field(default=False, init=False)

    @property
    def key(self) -> str:
        """Return the key of the lease's row."""
        return f'lease/{self.duty}'

    @property
    def is_held(self) -> bool:
        """Return whether this node may perform the duty right now."""
        return self._clock() < self._valid_until

    @property
    def held_seconds(self) -> float:
        """Return how long this node has held the lease, or 0 if it does not."""
        return self._clock() - self._acquired_at if self.is_held else 0

    @property
    def fencing(self) -> int:
        """Return the fencing token for the orders of this holder."""
        return self._fencing

    @property
    def version(self) -> int:
        """Return the version of the row when it was last read or written."""
        return self._last_row.version if self._last_row else _NO_ROW_VERSION

    @property
    def holder(self) -> str:
        """Return the holder when the row was last read or written."""
        return _decode(self._last_row).holder if self._last_row else ''

    @property
    def is_current_era(self) -> bool:
        """Return whether the row's version is of the table's current era.

        Only such a version can be checked in a transaction.
        """
        return (
            self._last_row is not None
            and era_of(self._last_row.version) == self._table.era
        )

    def advance_fencing(self) -> int:
        """Return a new fencing token, above all that this holder has used."""
        self._fencing += 1
        return self._fencing

    def check(self) -> Check:
        """Return the check that makes a transaction depend on this lease.

        Raise ``LeaseLostError`` if the lease is not held.
        """
        if not self.is_held or self._last_row is None:
            raise LeaseLostError(f'the lease of {self.duty} is no longer held')
        return Check(self.key, self._last_row.version)

    async def acquire_or_renew(self, *, may_be_isolated: bool = False) -> bool:
        """Renew or try to acquire the lease; return whether it is held.

        Raise ``PlatformError`` if the table cannot be reached.
        """
        if self.is_held and self.is_current_era:
            await self._write(self._last_row, self._fencing)
            if not self.is_held or self.is_current_era:
                return self.is_held
        await self._read_row()
        if self.is_held and self._is_taken_in_this_era():
            self._valid_until = float('-inf')
        if self.is_held or self._may_acquire(may_be_isolated):
            await self._acquire()
        return self.is_held

    async def release(self) -> None:
        """Release the lease, so that the next holder does not have to wait."""
        if not self.is_held or self._last_row is None:
            return
        last_row = self._last_row
        self._valid_until = float('-inf')
        released = _LeaseValue('', self._fencing, uuid.uuid4().hex)
        try:
            await self._table.commit(
                Transaction(
                    (Check(self.key, last_row.version),),
                    (Put(self.key, _encode(released)),),
                ),
            )
        except PlatformError as error:
            log_decision('duty_not_handed_over', duty=self.duty, why=str(error))
        else:
            log_decision('duty_handed_over', duty=self.duty)

    async def _acquire(self) -> None:
        earlier = _decode(self._last_row) if self._last_row else None
        fencing = make_version(self._table.era, 1)
        if earlier is not None:
            fencing = max(fencing, earlier.fencing + _FENCING_STEP)
        await self._write(self._last_row, fencing)
        if self.is_held:
            log_decision(
                'duty_taken',
                duty=self.duty,
                fencing=fencing,
                earlier=earlier.holder if earlier else '',
            )

    def _is_taken_in_this_era(self) -> bool:
        """Return whether another node acquired the lease in this era.

        Its fencing token is then of this era, while a restored row has one of
        an earlier era.
        """
        if self._last_row is None:
            return False
        lease = _decode(self._last_row)
        is_taken = era_of(lease.fencing) == self._table.era
        return is_taken and lease.holder != self.node_id

    async def _read_row(self) -> None:
        rows = await self._table.read_keys([self.key])
        row = rows.get(self.key)
        if row != self._last_row or self._last_row_at == 0:
            self._last_row = row
            self._last_row_at = self._clock()
        # A lease whose row is missing after a restore may still be held, so its
        # timeout applies as if the row existed.
        self._has_seen_row = self._has_seen_row or row is not None

    def _may_acquire(self, may_be_isolated: bool) -> bool:
        if self._is_free():
            return True
        wait = self._timeouts.takeover_seconds
        if may_be_isolated:
            wait = max(wait, self._timeouts.isolated_takeover_seconds)
        return self._clock() - self._last_row_at > wait

    def _is_free(self) -> bool:
        """Return whether no node can be holding the lease.

        A restored table may lack the holder's row, or show the lease as
        released although a node acquired it later.
        """
        if self._last_row is None:
            return not self._has_seen_row
        lease = _decode(self._last_row)
        return not lease.holder and era_of(lease.fencing) == self._table.era

    async def _write(self, last_row: Row | None, fencing: int) -> None:
        started = self._clock()
        era = self._table.era
        value = _LeaseValue(self.node_id, fencing, uuid.uuid4().hex)
        version = last_row.version if last_row else _NO_ROW_VERSION
        put = Put(self.key, _encode(value))
        try:
            written = await self._table.commit(
                Transaction((Check(self.key, version),), (put,)),
            )
        except WriteConflictError:
            if self._table.era == era:
                self._valid_until = float('-inf')
                await self._read_row()
            return
        except WriteUnknownError:
            if self._table.era == era:
                await self._resolve_unknown_write(value, started)
            else:
                # The write may have replaced the row of a node that acquired
                # the lease in the new era.
                self._valid_until = float('-inf')
            return
        self._record_renewal(
            Row(self.key, written, put.value), fencing, started
        )

    async def _resolve_unknown_write(
        self, value: _LeaseValue, started: float
    ) -> None:
        row = (await self._table.read_keys([self.key])).get(self.key)
        if row is None or _decode(row) != value:
            return
        if era_of(row.version) == era_of(value.fencing):
            self._record_renewal(row, value.fencing, started)

    def _record_renewal(self, row: Row, fencing: int, started: float) -> None:
        self._last_row = row
        self._has_seen_row = True
        self._last_row_at = started
        # During a renewal the token may have been advanced.
        if fencing > self._fencing:
            self._acquired_at = self._clock()
            self._fencing = fencing
        self._valid_until = started + self._timeouts.valid_seconds


def _encode(value: _LeaseValue) -> str:
    return msgspec.json.encode(value).decode()


def _decode(row: Row) -> _LeaseValue:
    """Decode a lease's row; one that cannot be decoded counts as held.

    Its timeout applies as to any other. The next fencing token has to exceed
    all earlier ones, so the row's version is used, which increases faster.
    """
    try:
        return msgspec.json.decode(row.value, type=_LeaseValue)
    except (msgspec.MsgspecError, RecursionError):
        return _LeaseValue(_UNREADABLE_HOLDER, row.version, '')
