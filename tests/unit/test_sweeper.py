"""Old claims are deleted, newer ones never."""

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
from tests.lib.calls import non_repeatable_call
from tests.lib.fake_platform import FakePlatform
from tests.lib.run import run_now

_DAY = 86400
_CALL = non_repeatable_call()


class SweeperTest(unittest.TestCase):
    """One node makes and settles a claim, and sweeps."""

    def setUp(self) -> None:
        """Make the claim, and a sweeper whose clock can be turned."""
        self.platform = FakePlatform()
        self.now = time.time()
        self.claims = ClaimStore('n', self.platform)  # type: ignore[arg-type]
        lease = Lease('sweeper', 'n', self.platform)
        run_now(lease.acquire_or_renew())
        self.sweeper = Sweeper(
            lease,
            self.platform,  # type: ignore[arg-type]
            lambda: self.now,
        )
        held = curio.run(self.claims.acquire, _CALL)
        assert isinstance(held, AcquiredClaim)
        curio.run(self.claims.complete, held, Response(200, {}, b'done'))

    def test_young_claims_stay(self) -> None:
        """For a day a repeat hears the recorded answer."""
        self.now += _DAY - 120
        self._sweep()
        again = curio.run(self.claims.acquire, _CALL)
        self.assertIsInstance(again, RecordedResponse)

    def test_old_claims_go(self) -> None:
        """After it nothing of them is left."""
        self.now += _DAY + 180
        self._sweep()
        left = [key for key in self.platform.rows if key.startswith('claim/')]
        self.assertEqual(left, [])
        self.assertIsInstance(
            curio.run(self.claims.acquire, _CALL), AcquiredClaim
        )

    def test_claims_made_anew_stay(self) -> None:
        """An old index row does not delete a claim that is younger."""
        key = next(key for key in self.platform.rows if 'claim/o' in key)
        self.now += _DAY + 180
        row = self.platform.rows[key]
        younger = row.value.replace('"made_at":', '"made_at":9')
        self.platform.rows[key] = attrs.evolve(row, value=younger)
        self._sweep()
        self.assertIn(key, self.platform.rows)

    def _sweep(self) -> None:
        swept = True
        while swept:
            swept = run_now(self.sweeper.sweep_next_bucket())
