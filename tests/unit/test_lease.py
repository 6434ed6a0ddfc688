"""Leases under pauses, lost answers and races."""

import unittest

import attrs
from hypothesis import given
from hypothesis import strategies as st

from cranecart.exceptions import LeaseLostError, PlatformError
from cranecart.leases import Lease, LeaseTimeouts
from tests.lib.fake_platform import FAULTS, FakePlatform
from tests.lib.run import run_now

_NODES = ('a', 'b', 'c')
_COPY = 'copy'
_RETURN = 'return'


@attrs.define
class _Clock:
    now: float = 1000

    def __call__(self) -> float:
        return self.now


def _leases(platform: FakePlatform, clock: _Clock) -> dict[str, Lease]:
    return {
        name: Lease('placer/x', name, platform, clock=clock) for name in _NODES
    }


def _keep(lease: Lease) -> bool:
    try:
        return run_now(lease.acquire_or_renew())
    except PlatformError:
        return lease.is_held


class LeaseTest(unittest.TestCase):
    """At most one node may act for a duty."""

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
        """Whoever wakes late or lost an answer, only one trusts its lease."""
        platform = FakePlatform(faults=iter(faults))
        clock = _Clock()
        leases = _leases(platform, clock)
        fencings: list[tuple[int, str]] = []
        for name, wait in steps:
            clock.now += wait
            if _keep(leases[name]):
                fencings.append((leases[name].fencing, name))
            held = [one for one in leases.values() if one.is_held]
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
                st.sampled_from((_COPY, _RETURN)),
            ),
            max_size=60,
        ),
        st.lists(st.sampled_from(FAULTS), max_size=60),
    )
    def test_never_two_holders_over_returns(
        self,
        steps: list[tuple[str, float] | str],
        faults: list[str],
    ) -> None:
        """A copy may lack the holder's row, or hold another holder's."""
        platform = FakePlatform()
        clock = _Clock()
        leases = _leases(platform, clock)
        copies = [platform.copied()]
        # Whoever has never seen the row takes one that is missing at once.
        for lease in leases.values():
            _keep(lease)
        platform.faults = iter(faults)
        taken: dict[int, str] = {}
        for step in steps:
            match step:
                case 'copy':
                    copies.append(platform.copied())
                case 'return':
                    platform.restore(copies[-1])
                case name, wait:
                    clock.now += wait
                    self._keep_rising(leases[name], taken)
            held = [one for one in leases.values() if one.is_held]
            self.assertLessEqual(len(held), 1)

    def test_a_holder_goes_on_after_a_return(self) -> None:
        """Nobody waits for a holder that is there."""
        platform = FakePlatform()
        lease = _leases(platform, _Clock())['a']
        earlier = platform.copied()
        _keep(lease)
        platform.restore(earlier)
        before = lease.fencing
        self.assertTrue(_keep(lease))
        self.assertGreater(lease.fencing, before)
        self.assertEqual(lease.check().version, platform.version)

    def test_a_holder_yields_to_one_of_after_a_return(self) -> None:
        """Whose fencing number is of the new era took it since."""
        platform = FakePlatform()
        clock = _Clock()
        leases = _leases(platform, clock)
        _keep(leases['a'])
        platform.restore((0, {}))
        _keep(leases['b'])
        self.assertTrue(leases['b'].is_held)
        self.assertFalse(_keep(leases['a']))

    def test_a_paused_holder_knows_that_it_lost(self) -> None:
        """The check that ties transactions to the lease raises."""
        clock = _Clock()
        lease = _leases(FakePlatform(), clock)['a']
        self.assertTrue(_keep(lease))
        lease.check()
        clock.now += 7
        with self.assertRaises(LeaseLostError):
            lease.check()

    def test_a_woken_holder_cannot_write(self) -> None:
        """Even with its clock unread, its check no longer holds."""
        clock = _Clock()
        platform = FakePlatform()
        leases = _leases(platform, clock)
        _keep(leases['a'])
        old_check = leases['a'].check()
        _keep(leases['b'])
        clock.now += 9
        self.assertTrue(_keep(leases['b']))
        self.assertNotEqual(
            platform.rows[old_check.key].version,
            old_check.version,
        )
        self.assertGreater(leases['b'].fencing, leases['a'].fencing)

    def test_who_may_be_cut_off_is_patient(self) -> None:
        """Two that did not hear each other took the duty by turns.

        The holder shows it every 2 s; one that hears nobody beside it waits
        for longer, and everybody else for 1.2 s, as a dead holder's replicas
        are repaired by nobody.
        """
        clock = _Clock()
        platform = FakePlatform()
        times = LeaseTimeouts(6, 1.2, 4)
        holder, cut, other = (
            Lease('placer/x', name, platform, times, clock) for name in _NODES
        )
        run_now(holder.acquire_or_renew())
        for _renewal in range(3):
            run_now(cut.acquire_or_renew(may_be_isolated=True))
            clock.now += 2
            self.assertFalse(
                run_now(cut.acquire_or_renew(may_be_isolated=True))
            )
            run_now(holder.acquire_or_renew())
        run_now(other.acquire_or_renew())
        clock.now += 1.3
        self.assertTrue(run_now(other.acquire_or_renew()))

    def test_handing_over_needs_no_wait(self) -> None:
        """The next node takes a lease that was given up at once."""
        leases = _leases(FakePlatform(), _Clock())
        _keep(leases['a'])
        run_now(leases['a'].release())
        self.assertTrue(_keep(leases['b']))

    def _keep_rising(self, lease: Lease, taken: dict[int, str]) -> None:
        if not _keep(lease):
            return
        self.assertGreaterEqual(lease.fencing, max(taken, default=0))
        holder = taken.setdefault(lease.fencing, lease.node_id)
        self.assertEqual(holder, lease.node_id)
