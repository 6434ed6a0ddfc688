"""Claims are deleted after the retention period, and not before."""

import time
import unittest

import attrs
import curio

from cranecart.claims import (
    AcquiredClaim,
    ClaimStore,
    RecordedResponse,
    Sweeper,
)
from cranecart.http import Response
from cranecart.leases import Lease
from cranecart.ports import Put, Transaction
from tests.lib.calls import non_repeatable_call
from tests.lib.fake_platform import FakePlatform
from tests.lib.synchronous import run_synchronously

_DAY = 86400
_CALL = non_repeatable_call()


class SweeperTest(unittest.TestCase):
    """One node acquires and completes a claim, and sweeps."""

    def setUp(self) -> None:
        """Complete a claim, and create a sweeper with a simulated clock."""
        self.platform = FakePlatform()
        self.now = time.time()
        self.claims = ClaimStore('n', self.platform)  # type: ignore[arg-type]
        lease = Lease('sweeper', 'n', self.platform)
        run_synchronously(lease.acquire_or_renew())
        self.sweeper = Sweeper(
            lease,
            self.platform,  # type: ignore[arg-type]
            lambda: self.now,
        )
        claim = curio.run(self.claims.acquire, _CALL)
        assert isinstance(claim, AcquiredClaim)
        curio.run(self.claims.complete, claim, Response(200, {}, b'done'))

    def test_recent_claims_are_kept(self) -> None:
        """A repeated call gets the recorded response for a day."""
        self.now += _DAY - 120
        self._sweep()
        repeated = curio.run(self.claims.acquire, _CALL)
        self.assertIsInstance(repeated, RecordedResponse)

    def test_expired_claims_are_deleted(self) -> None:
        """After a day the claims are deleted."""
        self.now += _DAY + 180
        self._sweep()
        remaining = [
            key for key in self.platform.rows if key.startswith('claim/')
        ]
        self.assertEqual(remaining, [])
        self.assertIsInstance(
            curio.run(self.claims.acquire, _CALL), AcquiredClaim
        )

    def test_claims_acquired_again_are_kept(self) -> None:
        """An old index row does not delete a newer claim."""
        key = next(key for key in self.platform.rows if 'claim/o' in key)
        self.now += _DAY + 180
        row = self.platform.rows[key]
        younger = row.value.replace('"made_at":', '"made_at":9')
        self.platform.rows[key] = attrs.evolve(row, value=younger)
        self._sweep()
        self.assertIn(key, self.platform.rows)

    def test_unreadable_claim(self) -> None:
        """It is kept, as it may have been made again; sweeping goes on."""
        made_at = int(self.now - _DAY - 120)
        index_key = f'claim-made/{made_at // 60:010}/claim/o/x'
        self._put('claim/o/x', '{')
        self._put(index_key, 'claim/o/x')
        self._sweep()
        self.assertIn('claim/o/x', self.platform.rows)
        self.assertNotIn(index_key, self.platform.rows)

    def test_unreadable_cursor(self) -> None:
        """Sweeping starts anew."""
        self._put('claim-swept', 'x')
        self._sweep()
        int(self.platform.rows['claim-swept'].value)

    def _sweep(self) -> None:
        swept = True
        while swept:
            swept = run_synchronously(self.sweeper.sweep_next_bucket())

    def _put(self, key: str, text: str) -> None:
        run_synchronously(
            self.platform.commit(Transaction((), (Put(key, text),)))
        )
