"""One row of the table for each idempotency key, inserted before sending.

A claim is never taken over. Whoever inserted the row may send the call, once;
every other copy of it hears what became of it, or that nobody can tell.
"""

import time
import uuid

import attrs
import curio
from curio.errors import TaskTimeout

from cranecart.claims._rows import (
    Claim,
    ClaimState,
    decode_claim,
    encode_claim,
    fingerprint,
    index_key,
    row_key,
)
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
from cranecart.native import WriteBatcher
from cranecart.ports import Check, Put, Row, Transaction
from cranecart.targets import Call

_MAX_RECORDED_BYTES = 65536
_ATTEMPTS = 2


@attrs.frozen
class AcquiredClaim:
    """The right to send one call, once."""

    row: Row


@attrs.frozen
class RecordedResponse:
    """The recorded answer to an earlier copy of the same call."""

    response: Response


@attrs.define
class ClaimStore:
    """Makes and settles claims for one node."""

    node_id: str
    _writes: WriteBatcher

    async def acquire(self, call: Call) -> AcquiredClaim | RecordedResponse:
        """Claim a call's key, or return what its earlier copy got.

        Raise ``PlatformAwayError`` where no copy was claimed, so that none
        can have run, ``OutcomeUnknownError`` where an earlier copy may have
        run, ``KeyReusedError`` where the key belongs to another call.
        """
        try:
            return await curio.timeout_after(
                call.seconds_left,
                self._acquire,
                call,
            )
        except TaskTimeout as error:
            raise ClaimUnreadableError(
                'this copy was not sent: its deadline passed first',
            ) from error

    async def complete(self, held: AcquiredClaim, response: Response) -> None:
        """Record the answer, so that repeats of the call hear it."""
        claim = decode_claim(held.row)
        body = response.body
        if len(body) > _MAX_RECORDED_BYTES:
            body = b''
        done = attrs.evolve(
            claim,
            state=ClaimState.DONE,
            status=response.status,
            content_type=response.headers.get('content-type', ''),
            body=body.decode('utf-8', 'replace'),
        )
        await self._rewrite(held, done)

    async def release(self, held: AcquiredClaim) -> None:
        """Record that the call did not run, so that a repeat may."""
        claim = decode_claim(held.row)
        await self._rewrite(held, attrs.evolve(claim, state=ClaimState.NOT_RUN))

    async def _acquire(self, call: Call) -> AcquiredClaim | RecordedResponse:
        key = row_key(call)
        wanted = Claim(
            self.node_id,
            uuid.uuid4().hex,
            fingerprint(call),
            ClaimState.CLAIMED,
            time.time(),
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
        wanted: Claim,
        seen: Row | None,
    ) -> AcquiredClaim | None:
        put = Put(key, encode_claim(wanted))
        check = Check(key, seen.version if seen else 0)
        index = Put(index_key(key, wanted.made_at), key)
        try:
            version = await self._writes.commit(
                Transaction((check,), (put, index)),
            )
        except (WriteConflictError, WriteUnknownError):
            return None
        except PlatformUnavailableError as error:
            raise ClaimUnreadableError(
                'this copy was not sent, but whether an earlier one ran '
                'cannot be read; repeat it with the same key',
            ) from error
        return AcquiredClaim(Row(key, version, put.value))

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

    async def _rewrite(self, held: AcquiredClaim, claim: Claim) -> None:
        row = held.row
        transaction = Transaction(
            (Check(row.key, row.version),),
            (Put(row.key, encode_claim(claim)),),
        )
        try:
            await self._writes.commit(transaction)
        except PlatformError as error:
            decision('claim_not_settled', key=row.key, why=str(error))


def _judge(
    seen: Row | None, wanted: Claim
) -> AcquiredClaim | RecordedResponse | None:
    """Return what a row found after a failed insert means for the call."""
    if seen is None:
        return None
    found = decode_claim(seen)
    if found.nonce == wanted.nonce:
        return AcquiredClaim(seen)
    if found.fingerprint != wanted.fingerprint:
        raise KeyReusedError('the idempotency key belongs to another call')
    match found.state:
        case ClaimState.NOT_RUN:
            return None
        case ClaimState.DONE:
            return RecordedResponse(
                Response(
                    found.status,
                    {
                        'content-type': found.content_type,
                        'x-replayed': 'yes',
                    },
                    found.body.encode(),
                ),
            )
        case ClaimState.CLAIMED:
            raise OutcomeUnknownError(
                f'{found.node} took an earlier copy of this call',
                retry_after=1,
            )
