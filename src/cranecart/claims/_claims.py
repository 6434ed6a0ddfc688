"""One row of the table for each idempotency key, inserted before sending.

A claim is never taken over. Whoever inserted the row may send the call, once;
every other copy of it hears what became of it, or that nobody can tell.
"""

import enum
import hashlib
import uuid

import attrs
import curio
import msgspec
from curio.errors import TaskTimeout

from cranecart.exceptions import (
    ClaimUnreadableError,
    KeyReusedError,
    OutcomeUnknownError,
    PlatformAwayError,
    PlatformError,
    PlatformUnavailableError,
    WriteConflictError,
    WriteUnknownError,
)
from cranecart.http import Response
from cranecart.logs import decision
from cranecart.platform import Check, Put, Row, Transaction, WriteBatcher
from cranecart.targets import Call, ServiceCall

_MAX_RECORDED_BYTES = 65536
_ATTEMPTS = 2


class _State(enum.Enum):
    CLAIMED = 'claimed'
    DONE = 'done'
    NOT_RUN = 'not run'


@attrs.frozen
class _Claim:
    node: str
    nonce: str
    fingerprint: str
    state: _State
    status: int = 0
    content_type: str = ''
    body: str = ''


@attrs.frozen
class Held:
    """The right to send one call, once."""

    row: Row


@attrs.frozen
class Replay:
    """The recorded answer to an earlier copy of the same call."""

    response: Response


@attrs.define
class Claims:
    """Makes and settles claims for one node."""

    node_id: str
    _writes: WriteBatcher

    async def make(self, call: Call) -> Held | Replay:
        """Claim a call's key, or return what its earlier copy got.

        Raise ``PlatformAwayError`` where no copy was claimed, so that none
        can have run, ``OutcomeUnknownError`` where an earlier copy may have
        run, ``KeyReusedError`` where the key belongs to another call.
        """
        try:
            return await curio.timeout_after(
                call.seconds_left,
                self._make,
                call,
            )
        except TaskTimeout as error:
            raise ClaimUnreadableError(
                'this copy was not sent: its deadline passed first',
            ) from error

    async def settle(self, held: Held, response: Response) -> None:
        """Record the answer, so that repeats of the call hear it."""
        claim = _decode(held.row)
        body = response.body
        if len(body) > _MAX_RECORDED_BYTES:
            body = b''
        done = attrs.evolve(
            claim,
            state=_State.DONE,
            status=response.status,
            content_type=response.headers.get('content-type', ''),
            body=body.decode('utf-8', 'replace'),
        )
        await self._rewrite(held, done)

    async def release(self, held: Held) -> None:
        """Record that the call did not run, so that a repeat may."""
        claim = _decode(held.row)
        await self._rewrite(held, attrs.evolve(claim, state=_State.NOT_RUN))

    async def _make(self, call: Call) -> Held | Replay:
        key = _row_key(call)
        wanted = _Claim(
            self.node_id,
            uuid.uuid4().hex,
            _fingerprint(call),
            _State.CLAIMED,
        )
        seen: Row | None = None
        for _attempt in range(_ATTEMPTS):
            held = await self._insert(key, wanted, seen)
            if held is not None:
                return held
            seen = await self._read(key)
            outcome = _judge(seen, wanted)
            if outcome is not None:
                return outcome
        raise PlatformAwayError('the claim could not be made; try again')

    async def _insert(
        self,
        key: str,
        wanted: _Claim,
        seen: Row | None,
    ) -> Held | None:
        put = Put(key, _encode(wanted))
        check = Check(key, seen.version if seen else 0)
        try:
            version = await self._writes.commit(
                Transaction((check,), (put,)),
            )
        except (WriteConflictError, WriteUnknownError):
            return None
        except PlatformUnavailableError as error:
            raise ClaimUnreadableError(
                'this copy was not sent, but whether an earlier one ran '
                'cannot be read; repeat it with the same key',
            ) from error
        return Held(Row(key, version, put.value))

    async def _read(self, key: str) -> Row | None:
        try:
            return await self._writes.read_key(key)
        except PlatformError as error:
            # This node has not sent the call and now never will under this
            # claim, but an earlier copy may have run elsewhere.
            raise ClaimUnreadableError(
                'this copy was not sent, but whether an earlier one ran '
                'cannot be read; repeat it with the same key',
            ) from error

    async def _rewrite(self, held: Held, claim: _Claim) -> None:
        row = held.row
        transaction = Transaction(
            (Check(row.key, row.version),),
            (Put(row.key, _encode(claim)),),
        )
        try:
            await self._writes.commit(transaction)
        except PlatformError as error:
            decision('claim_not_settled', key=row.key, why=str(error))


def _judge(seen: Row | None, wanted: _Claim) -> Held | Replay | None:
    """Return what a row found after a failed insert means for the call."""
    if seen is None:
        return None
    found = _decode(seen)
    if found.nonce == wanted.nonce:
        return Held(seen)
    if found.fingerprint != wanted.fingerprint:
        raise KeyReusedError('the idempotency key belongs to another call')
    match found.state:
        case _State.NOT_RUN:
            return None
        case _State.DONE:
            return Replay(
                Response(
                    found.status,
                    {
                        'content-type': found.content_type,
                        'x-replayed': 'yes',
                    },
                    found.body.encode(),
                ),
            )
        case _State.CLAIMED:
            raise OutcomeUnknownError(
                f'{found.node} took an earlier copy of this call',
                retry_after=1,
            )


def _row_key(call: Call) -> str:
    digest = hashlib.sha256(call.idempotency_key.encode()).hexdigest()
    return f'claim/{call.organisation}/{digest}'


def _fingerprint(call: Call) -> str:
    path = call.path if isinstance(call, ServiceCall) else ''
    return hashlib.sha256(path.encode() + call.body).hexdigest()


def _encode(claim: _Claim) -> str:
    return msgspec.json.encode(claim).decode()


def _decode(row: Row) -> _Claim:
    return msgspec.json.decode(row.value, type=_Claim)
