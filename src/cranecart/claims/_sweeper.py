"""Delete claims that are older than the retention period."""

import itertools
import logging
import time
from collections.abc import Callable, Iterator, Sequence

import attrs
import curio
import msgspec

from cranecart.claims._rows import (
    RETENTION_SECONDS,
    bucket_of,
    bucket_prefix,
    claim_from_row,
)
from cranecart.exceptions import LeaseLostError, PlatformError
from cranecart.leases import Lease
from cranecart.logs import log_decision
from cranecart.native import PlatformClient
from cranecart.ports import Check, Put, Row, Transaction

_LOG = logging.getLogger(__name__)
_INTERVAL_SECONDS = 5.0
_BATCH_SIZE = 50
_CURSOR_KEY = 'claim-swept'
# Without a cursor nothing has been swept yet; sweeping then starts with the
# buckets of the day before the retention limit.
_MAX_LOOKBACK_BUCKETS = 1440


@attrs.define
class Sweeper:
    """Deletes expired claims, one bucket at a time, while it has the lease."""

    lease: Lease
    _platform: PlatformClient
    _wall_clock: Callable[[], float] = time.time
    _stopped: bool = attrs.field(default=False, init=False)

    async def run(self) -> None:
        """Acquire the lease and sweep while it is held, until cancelled."""
        while not self._stopped:
            try:
                if await self.lease.acquire_or_renew():
                    await self.sweep_next_bucket()
            except (PlatformError, LeaseLostError) as error:
                _LOG.debug('sweeping failed, will retry: %s', error)
            await curio.sleep(_INTERVAL_SECONDS)
        await curio.Event().wait()

    def stop(self) -> None:
        """Stop sweeping and renewing the lease."""
        self._stopped = True

    async def sweep_next_bucket(self) -> bool:
        """Sweep the oldest expired bucket; return whether there was one."""
        cursor = (await self._platform.read_keys([_CURSOR_KEY])).get(
            _CURSOR_KEY
        )
        newest_expired = bucket_of(self._wall_clock() - RETENTION_SECONDS) - 1
        bucket = _bucket_after(cursor)
        if bucket is None:
            bucket = newest_expired - _MAX_LOOKBACK_BUCKETS
        if bucket > newest_expired:
            return False
        index = await self._platform.read_prefix(bucket_prefix(bucket))
        for batch in _batches(list(index.values())):
            await self._delete(batch)
        version = cursor.version if cursor else 0
        await self._platform.commit(
            Transaction(
                (self.lease.check(), Check(_CURSOR_KEY, version)),
                (Put(_CURSOR_KEY, str(bucket)),),
            ),
        )
        if index:
            log_decision('claims_swept', bucket=bucket, claims=len(index))
        return True

    async def _delete(self, index: Sequence[Row]) -> None:
        """Delete index rows, and their claims unless claimed again since."""
        claims = await self._platform.read_keys([row.value for row in index])
        oldest_kept = self._wall_clock() - RETENTION_SECONDS
        expired = [
            claim for claim in claims.values() if _made_at(claim) < oldest_kept
        ]
        await self._platform.commit(
            Transaction(
                (
                    self.lease.check(),
                    *(Check(claim.key, claim.version) for claim in expired),
                ),
                (),
                (
                    *(row.key for row in index),
                    *(claim.key for claim in expired),
                ),
            ),
        )


def _bucket_after(cursor: Row | None) -> int | None:
    """Return the bucket to sweep next, or None if that is not known."""
    if cursor is None:
        return None
    try:
        return int(cursor.value) + 1
    except ValueError as error:
        log_decision('claim_cursor_unreadable', why=str(error))
        return None


def _made_at(row: Row) -> float:
    """Return when a claim was made; one that is unreadable is kept."""
    try:
        return claim_from_row(row).made_at
    except msgspec.MsgspecError as error:
        log_decision('claim_unreadable', row=row.key, why=str(error))
        return float('inf')


def _batches(rows: Sequence[Row]) -> Iterator[Sequence[Row]]:
    source = iter(rows)
    while batch := list(itertools.islice(source, _BATCH_SIZE)):
        yield batch
