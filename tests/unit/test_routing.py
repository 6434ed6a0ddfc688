"""Routing policies and outlier ejection."""

import random
import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from cranecart.http import Address
from cranecart.routing import OutlierEjection
from cranecart.selection import POLICIES, policy_from_name
from cranecart.selection._policies import choose
from cranecart.targets import ServingReplica
from tests.lib.fake_clock import FakeClock

_RNG = random.Random(1)
_LOADS = st.lists(st.integers(0, 40), min_size=1, max_size=9)


def _replicas(loads: list[int]) -> list[ServingReplica]:
    return [
        ServingReplica(
            f'r{number}',
            1,
            'm',
            'v',
            (),
            (f'e{number}',),
            Address('127.0.0.1', number),
            'd',
            load,
            0,
            16,
        )
        for number, load in enumerate(loads)
    ]


def _load(replica: ServingReplica) -> float:
    return replica.running / replica.slots


class PolicyTest(unittest.TestCase):
    """Guarantees of the routing policies."""

    @given(_LOADS, st.text())
    def test_prefix_affinity_bounds_the_load(
        self,
        loads: list[int],
        prefix: str,
    ) -> None:
        """The chosen replica is not loaded far above the mean."""
        replicas = _replicas(loads)
        policy = policy_from_name('prefix')
        chosen = choose(policy, replicas, prefix, _load, _RNG).replica
        mean = sum(map(_load, replicas)) / len(replicas)
        self.assertLessEqual(_load(chosen), 1.25 * mean + 1 / 16)

    @given(st.text())
    def test_prefix_affinity_is_the_same_on_all_nodes(
        self,
        prefix: str,
    ) -> None:
        """Nodes that list replicas in different orders choose the same one."""
        replicas = _replicas([0] * 6)  # noqa: WPS435
        policy = policy_from_name('prefix')
        chosen = {
            choose(policy, order, prefix, _load, _RNG).replica.id
            for order in (replicas, list(reversed(replicas)))
        }
        self.assertEqual(len(chosen), 1)

    def test_two_choices_avoid_the_most_loaded(self) -> None:
        """The most loaded of several replicas is never chosen."""
        replicas = _replicas([9, 1, 1, 1])
        policy = policy_from_name('two_choices')
        counts = Counter(
            choose(policy, replicas, '', _load, _RNG).replica.id
            for _ in range(200)
        )
        self.assertEqual(counts['r0'], 0)

    def test_unknown_policy_is_rejected(self) -> None:
        """An unknown name is rejected, all listed names are accepted."""
        with self.assertRaises(ValueError):
            policy_from_name('best')
        self.assertEqual(len(set(map(policy_from_name, POLICIES))), 3)


class OutlierEjectionTest(unittest.TestCase):
    """Failing targets are ejected for a while."""

    def setUp(self) -> None:
        """Create two replicas, one of which will fail."""
        self.clock = FakeClock()
        self.ejection = OutlierEjection(self.clock)
        self.replicas = _replicas([0, 0])

    def test_three_consecutive_failures_eject(self) -> None:
        """A target is ejected for a second; a fourth failure doubles it."""
        for _ in range(3):
            self.assertEqual(self._not_ejected(), ['r0', 'r1'])
            self.ejection.record_failure('r0')
        self.assertEqual(self._not_ejected(), ['r1'])
        self.clock.now += 1.1
        self.assertEqual(self._not_ejected(), ['r0', 'r1'])
        self.ejection.record_failure('r0')
        self.clock.now += 1.1
        self.assertEqual(self._not_ejected(), ['r1'])

    def test_success_resets_the_count(self) -> None:
        """Only consecutive failures count."""
        self.ejection.record_failure('r0')
        self.ejection.record_failure('r0')
        self.ejection.record_success('r0')
        self.ejection.record_failure('r0')
        self.assertEqual(self._not_ejected(), ['r0', 'r1'])

    def test_sound_target_stays_ejected_after_a_silence(self) -> None:
        """Its events show that it was only silent, whatever it counted."""
        for _ in range(5):
            self.ejection.record_silence('r0')
        self.assertEqual(self._not_ejected(), ['r1'])
        self.ejection.record_event('r0')
        self.assertEqual(self._not_ejected(), ['r0', 'r1'])

    def test_report_of_another_node_forgotten_with_a_silence(self) -> None:
        """Events say nothing of connections that broke elsewhere."""
        self.ejection.record_silence('r0')
        self.ejection.eject_reported('r0')
        self.ejection.record_event('r0')
        self.assertEqual(self._not_ejected(), ['r1'])

    def test_failures_forgotten_with_a_silence(self) -> None:
        """Events say nothing of failures that were no silences."""
        self.ejection.record_silence('r0')
        for _ in range(3):
            self.ejection.record_failure('r0')
        self.ejection.record_event('r0')
        self.assertEqual(self._not_ejected(), ['r1'])

    def test_all_failing_targets_stay_in_use(self) -> None:
        """If all targets are ejected, all are used."""
        for name in ('r0', 'r1'):
            for _ in range(3):
                self.ejection.record_failure(name)
        self.assertEqual(self._not_ejected(), ['r0', 'r1'])

    def _not_ejected(self) -> list[str]:
        healthy = self.ejection.without_ejected(self.replicas)
        return [replica.id for replica in healthy]
