"""Delete claims that are older than the time outcomes are kept for."""

import itertools
import logging
import time
from collections.abc import Callable, Iterator, Sequence

import attrs
import curio

from cranecart.claims._rows import (
    RETENTION_SECONDS,
    bucket_of,
    bucket_prefix,
    decode_claim,
)
from cranecart.exceptions import LeaseLostError, PlatformError
from cranecart.leases import Lease
from cranecart.logs import decision
from cranecart.native import PlatformClient
from cranecart.ports import Check, Put, Row, Transaction

_LOG = logging.getLogger(__name__)
_TICK_SECONDS = 5.0
_TOGETHER = 50
_POINTER = 'claim-swept'
# Without a pointer nothing was ever swept; a day's buckets are looked at.
_LOOK_BACK = 1440


@attrs.define
class Sweeper:
    """Holds the sweeping duty when it can; sweeps a bucket at a time."""

    lease: Lease
    _platform: PlatformClient
    _now: Callable[[], float] = time.time
    _stopped: bool = attrs.field(default=False, init=False)

    async def run(self) -> None:
        """Keep the lease and sweep, until cancelled."""
        while not self._stopped:
            try:
                if await self.lease.acquire_or_renew():
                    await self.sweep_next_bucket()
            except (PlatformError, LeaseLostError) as error:
                _LOG.debug('sweeping waits: %s', error)
            await curio.sleep(_TICK_SECONDS)
        await curio.Event().wait()

    def stop(self) -> None:
        """Take the duty no more."""
        self._stopped = True

    async def sweep_next_bucket(self) -> bool:
        """Sweep the oldest bucket that is due; return whether one was."""
        pointer = (await self._platform.read_keys([_POINTER])).get(_POINTER)
        newest = bucket_of(self._now() - RETENTION_SECONDS) - 1
        bucket = int(pointer.value) + 1 if pointer else newest - _LOOK_BACK
        if bucket > newest:
            return False
        index = await self._platform.read_prefix(bucket_prefix(bucket))
        for batch in _batches(list(index.values())):
            await self._delete(batch)
        version = pointer.version if pointer else 0
        await self._platform.commit(
            Transaction(
                (self.lease.check(), Check(_POINTER, version)),
                (Put(_POINTER, str(bucket)),),
            ),
        )
        if index:
            decision('claims_swept', bucket=bucket, claims=len(index))
        return True

    async def _delete(self, index: Sequence[Row]) -> None:
        """Delete index rows, and their claims unless they were made anew."""
        claims = await self._platform.read_keys([row.value for row in index])
        limit = self._now() - RETENTION_SECONDS
        old = [
            claim
            for claim in claims.values()
            if decode_claim(claim).made_at < limit
        ]
        await self._platform.commit(
            Transaction(
                (
                    self.lease.check(),
                    *(Check(claim.key, claim.version) for claim in old),
                ),
                (),
                (
                    *(row.key for row in index),
                    *(claim.key for claim in old),
                ),
            ),
        )


def _batches(rows: Sequence[Row]) -> Iterator[Sequence[Row]]:
    source = iter(rows)
    while batch := list(itertools.islice(source, _TOGETHER)):
        yield batch
