"""One table row for each idempotency key, inserted before the call is sent.

A claim is never taken over by another node. The node that inserted the row may
send the call once. Every other copy of the call gets the recorded response, or
an error that the outcome is unknown.
"""

import time
import uuid

import attrs
import curio
from curio.errors import TaskTimeout

from cranecart.claims._rows import (
    Claim,
    ClaimState,
    claim_from_row,
    claim_to_value,
    fingerprint,
    index_key,
    row_key,
)
from cranecart.exceptions import (
    ClaimStoreUnavailableError,
    ClaimUnreadableError,
    IdempotencyKeyReusedError,
    OutcomeUnknownError,
    PlatformError,
    PlatformUnavailableError,
    WriteConflictError,
    WriteUnknownError,
)
from cranecart.http import Response
from cranecart.logs import log_decision
from cranecart.native import WriteBatcher
from cranecart.ports import Check, Put, Row, Transaction
from cranecart.targets import Call

_MAX_RECORDED_BYTES = 65536
_MAX_ATTEMPTS = 2


@attrs.frozen
class AcquiredClaim:
    """The right to send a call once, with the row that grants it."""

    row: Row


@attrs.frozen
class RecordedResponse:
    """The recorded response to an earlier copy of the same call."""

    response: Response


@attrs.define
class ClaimStore:
    """Acquires and completes claims for one node."""

    node_id: str
    _writes: WriteBatcher

    async def acquire(self, call: Call) -> AcquiredClaim | RecordedResponse:
        """Claim a call's key, or return the response to an earlier copy.

        Raise ``ClaimStoreUnavailableError`` if no copy was claimed, so none can
        have run; ``OutcomeUnknownError`` if an earlier copy may have run;
        ``ClaimUnreadableError`` if the claim cannot be read;
        ``IdempotencyKeyReusedError`` if the key belongs to another call.
        """
        try:
            return await curio.timeout_after(
                call.seconds_left,
                self._acquire,
                call,
            )
        except TaskTimeout as error:
            raise ClaimUnreadableError(
                'the call was not sent: its deadline passed before the key was claimed',
            ) from error

    async def complete(
        self, acquired: AcquiredClaim, response: Response
    ) -> None:
        """Record the response, so that repeats of the call get it.

        A body over the maximum size is recorded as empty.
        """
        claim = claim_from_row(acquired.row)
        body = response.body
        if len(body) > _MAX_RECORDED_BYTES:
            body = b''
        done = attrs.evolve(
            claim,
            state=ClaimState.DONE,
            status=response.status,
            content_type=response.headers.get('content-type', ''),
            content=body,
        )
        await self._update(acquired, done)

    async def release(self, acquired: AcquiredClaim) -> None:
        """Record that the call did not run, so that it may be repeated."""
        claim = claim_from_row(acquired.row)
        await self._update(
            acquired, attrs.evolve(claim, state=ClaimState.NOT_RUN)
        )

    async def _acquire(self, call: Call) -> AcquiredClaim | RecordedResponse:
        key = row_key(call)
        new_claim = Claim(
            self.node_id,
            uuid.uuid4().hex,
            fingerprint(call),
            ClaimState.CLAIMED,
            time.time(),
        )
        existing: Row | None = None
        for _attempt in range(_MAX_ATTEMPTS):
            acquired = await self._insert(key, new_claim, existing)
            if acquired is not None:
                return acquired
            existing = await self._read_existing(key)
            outcome = _resolve_existing(existing, new_claim)
            if outcome is not None:
                return outcome
        raise ClaimStoreUnavailableError(
            'the idempotency key could not be claimed; try again'
        )

    async def _insert(
        self,
        key: str,
        new_claim: Claim,
        existing: Row | None,
    ) -> AcquiredClaim | None:
        put = Put(key, claim_to_value(new_claim))
        check = Check(key, existing.version if existing else 0)
        index = Put(index_key(key, new_claim.made_at), key)
        try:
            version = await self._writes.commit(
                Transaction((check,), (put, index)),
            )
        except (WriteConflictError, WriteUnknownError):
            return None
        except PlatformUnavailableError as error:
            raise ClaimUnreadableError(
                'the call was not sent, but it is unknown whether an earlier '
                'copy ran; repeat it with the same idempotency key',
            ) from error
        return AcquiredClaim(Row(key, version, put.value))

    async def _read_existing(self, key: str) -> Row | None:
        try:
            return await self._writes.read_key(key)
        except PlatformError as error:
            # This node has not sent the call and never will with this claim,
            # but an earlier copy may have run at another node.
            raise ClaimUnreadableError(
                'the call was not sent, but it is unknown whether an earlier '
                'copy ran; repeat it with the same idempotency key',
            ) from error

    async def _update(self, acquired: AcquiredClaim, claim: Claim) -> None:
        row = acquired.row
        transaction = Transaction(
            (Check(row.key, row.version),),
            (Put(row.key, claim_to_value(claim)),),
        )
        try:
            await self._writes.commit(transaction)
        except PlatformError as error:
            log_decision('claim_not_settled', key=row.key, why=str(error))


def _resolve_existing(
    existing: Row | None, new_claim: Claim
) -> AcquiredClaim | RecordedResponse | None:
    """Return the outcome for a call whose insert failed, by the stored row.

    ``None`` means that the claim may be attempted again.
    """
    if existing is None:
        return None
    stored = claim_from_row(existing)
    if stored.nonce == new_claim.nonce:
        return AcquiredClaim(existing)
    if stored.fingerprint != new_claim.fingerprint:
        raise IdempotencyKeyReusedError(
            'the idempotency key was already used for another call'
        )
    match stored.state:
        case ClaimState.NOT_RUN:
            return None
        case ClaimState.DONE:
            return RecordedResponse(
                Response(
                    stored.status,
                    {
                        'content-type': stored.content_type,
                        'x-replayed': 'yes',
                    },
                    stored.content or stored.body.encode(),
                ),
            )
        case ClaimState.CLAIMED:
            raise OutcomeUnknownError(
                f'{stored.node} accepted an earlier copy of this call; '
                'its outcome is unknown',
                retry_after=1,
            )
