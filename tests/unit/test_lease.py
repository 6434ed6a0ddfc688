"""Leases under pauses, lost responses and races."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from cranecart.exceptions import LeaseLostError, PlatformError
from cranecart.leases import Lease, LeaseTimeouts
from tests.lib.fake_clock import FakeClock
from tests.lib.fake_platform import FAULTS, FakePlatform
from tests.lib.synchronous import run_synchronously

_NODES = ('a', 'b', 'c')
_BACKUP = 'backup'
_RESTORE = 'restore'


def _leases(platform: FakePlatform, clock: FakeClock) -> dict[str, Lease]:
    return {
        name: Lease('placer/x', name, platform, clock=clock) for name in _NODES
    }


def _try_acquire(lease: Lease) -> bool:
    try:
        return run_synchronously(lease.acquire_or_renew())
    except PlatformError:
        return lease.is_held


class LeaseTest(unittest.TestCase):
    """At most one node may perform a duty."""

    @given(
        st.lists(
            st.tuples(st.sampled_from(_NODES), st.floats(0, 5)),
            max_size=60,
        ),
        st.lists(st.sampled_from(FAULTS), max_size=60),
    )
    def test_never_two_holders(
        self,
        steps: list[tuple[str, float]],
        faults: list[str],
    ) -> None:
        """At most one lease is valid, despite pauses and lost responses."""
        platform = FakePlatform(faults=iter(faults))
        clock = FakeClock()
        leases = _leases(platform, clock)
        fencings: list[tuple[int, str]] = []
        for name, wait in steps:
            clock.now += wait
            if _try_acquire(leases[name]):
                fencings.append((leases[name].fencing, name))
            held = [lease for lease in leases.values() if lease.is_held]
            self.assertLessEqual(len(held), 1)
        self.assertEqual(fencings, sorted(fencings, key=lambda pair: pair[0]))
        self.assertEqual(
            len({fencing for fencing, _ in fencings}),
            len(set(fencings)),
        )

    @given(
        st.lists(
            st.one_of(
                st.tuples(st.sampled_from(_NODES), st.floats(0, 5)),
                st.sampled_from((_BACKUP, _RESTORE)),
            ),
            max_size=60,
        ),
        st.lists(st.sampled_from(FAULTS), max_size=60),
    )
    def test_never_two_holders_with_restores(
        self,
        steps: list[tuple[str, float] | str],
        faults: list[str],
    ) -> None:
        """A restored table may lack the holder's row, or have another holder's."""
        platform = FakePlatform()
        clock = FakeClock()
        leases = _leases(platform, clock)
        backups = [platform.snapshot_rows()]
        # A node that has never read the row acquires a missing one at once.
        for lease in leases.values():
            _try_acquire(lease)
        platform.faults = iter(faults)
        taken: dict[int, str] = {}
        for step in steps:
            match step:
                case 'backup':
                    backups.append(platform.snapshot_rows())
                case 'restore':
                    platform.restore(backups[-1])
                case name, wait:
                    clock.now += wait
                    self._acquire_with_rising_token(leases[name], taken)
            held = [lease for lease in leases.values() if lease.is_held]
            self.assertLessEqual(len(held), 1)

    def test_holder_renews_after_a_restore(self) -> None:
        """A holder that is running renews its lease without a wait."""
        platform = FakePlatform()
        lease = _leases(platform, FakeClock())['a']
        backup = platform.snapshot_rows()
        _try_acquire(lease)
        platform.restore(backup)
        before = lease.fencing
        self.assertTrue(_try_acquire(lease))
        self.assertGreater(lease.fencing, before)
        self.assertEqual(lease.check().version, platform.version)

    def test_holder_yields_to_one_of_the_new_era(self) -> None:
        """A fencing token of the new era shows that another node acquired it."""
        platform = FakePlatform()
        clock = FakeClock()
        leases = _leases(platform, clock)
        _try_acquire(leases['a'])
        platform.restore((0, {}))
        _try_acquire(leases['b'])
        self.assertTrue(leases['b'].is_held)
        self.assertFalse(_try_acquire(leases['a']))

    def test_paused_holder_detects_the_loss(self) -> None:
        """It gets an error instead of a check for its transactions."""
        clock = FakeClock()
        lease = _leases(FakePlatform(), clock)['a']
        self.assertTrue(_try_acquire(lease))
        lease.check()
        clock.now += 7
        with self.assertRaises(LeaseLostError):
            lease.check()

    def test_resumed_holder_cannot_write(self) -> None:
        """Its check fails even if it does not read its clock."""
        clock = FakeClock()
        platform = FakePlatform()
        leases = _leases(platform, clock)
        _try_acquire(leases['a'])
        old_check = leases['a'].check()
        _try_acquire(leases['b'])
        clock.now += 9
        self.assertTrue(_try_acquire(leases['b']))
        self.assertNotEqual(
            platform.rows[old_check.key].version,
            old_check.version,
        )
        self.assertGreater(leases['b'].fencing, leases['a'].fencing)

    def test_isolated_node_waits_longer(self) -> None:
        """Two nodes partitioned from each other acquired the lease by turns.

        The holder renews it every 2 s. A node that reaches no peers has to
        wait for longer. All others wait for 1.2 s, because the replicas of a
        dead holder are not repaired meanwhile.
        """
        clock = FakeClock()
        platform = FakePlatform()
        times = LeaseTimeouts(6, 1.2, 4)
        holder, isolated, other = (
            Lease('placer/x', name, platform, times, clock) for name in _NODES
        )
        run_synchronously(holder.acquire_or_renew())
        for _renewal in range(3):
            run_synchronously(isolated.acquire_or_renew(may_be_isolated=True))
            clock.now += 2
            self.assertFalse(
                run_synchronously(
                    isolated.acquire_or_renew(may_be_isolated=True)
                )
            )
            run_synchronously(holder.acquire_or_renew())
        run_synchronously(other.acquire_or_renew())
        clock.now += 1.3
        self.assertTrue(run_synchronously(other.acquire_or_renew()))

    def test_released_lease_needs_no_wait(self) -> None:
        """The next node acquires a released lease at once."""
        leases = _leases(FakePlatform(), FakeClock())
        _try_acquire(leases['a'])
        run_synchronously(leases['a'].release())
        self.assertTrue(_try_acquire(leases['b']))

    def _acquire_with_rising_token(
        self, lease: Lease, taken: dict[int, str]
    ) -> None:
        if not _try_acquire(lease):
            return
        self.assertGreaterEqual(lease.fencing, max(taken, default=0))
        holder = taken.setdefault(lease.fencing, lease.node_id)
        self.assertEqual(holder, lease.node_id)
