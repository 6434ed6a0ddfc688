"""Routing policies."""

import random
import unittest
from collections import Counter

import attrs
from hypothesis import given
from hypothesis import strategies as st

from cranecart.http import Address
from cranecart.routing import OutlierEjection
from cranecart.selection import POLICIES, policy_from_name
from cranecart.selection._policies import choose
from cranecart.targets import ServingReplica

_SOURCE = random.Random(1)
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
    """What the policies promise."""

    @given(_LOADS, st.text())
    def test_prefix_affinity_bounds_the_load(
        self,
        loads: list[int],
        prefix: str,
    ) -> None:
        """The chosen replica is never far over the mean."""
        replicas = _replicas(loads)
        policy = policy_from_name('prefix')
        chosen = choose(policy, replicas, prefix, _load, _SOURCE).replica
        mean = sum(map(_load, replicas)) / len(replicas)
        self.assertLessEqual(_load(chosen), 1.25 * mean + 1 / 16)

    @given(st.text())
    def test_prefix_affinity_agrees_without_a_message(
        self,
        prefix: str,
    ) -> None:
        """Nodes that list replicas in other orders choose the same."""
        replicas = _replicas([0] * 6)  # noqa: WPS435
        policy = policy_from_name('prefix')
        chosen = {
            choose(policy, order, prefix, _load, _SOURCE).replica.id
            for order in (replicas, list(reversed(replicas)))
        }
        self.assertEqual(len(chosen), 1)

    def test_two_choices_avoid_the_loaded(self) -> None:
        """The most loaded of many is never chosen."""
        replicas = _replicas([9, 1, 1, 1])
        policy = policy_from_name('two_choices')
        counts = Counter(
            choose(policy, replicas, '', _load, _SOURCE).replica.id
            for _ in range(200)
        )
        self.assertEqual(counts['r0'], 0)

    def test_unknown_policy(self) -> None:
        """A name that is no policy is refused."""
        with self.assertRaises(ValueError):
            policy_from_name('best')
        self.assertEqual(len(set(map(policy_from_name, POLICIES))), 3)


@attrs.define
class _Clock:
    now: float = 0

    def __call__(self) -> float:
        return self.now


class EjectionTest(unittest.TestCase):
    """Failing targets are passed over for a while."""

    def setUp(self) -> None:
        """Make two replicas, one of which fails."""
        self.clock = _Clock()
        self.ejection = OutlierEjection(self.clock)
        self.replicas = _replicas([0, 0])

    def test_three_failures_in_a_row(self) -> None:
        """Then it is out for a second, and again after one more."""
        for _ in range(3):
            self.assertEqual(self._good(), ['r0', 'r1'])
            self.ejection.record_failure('r0')
        self.assertEqual(self._good(), ['r1'])
        self.clock.now += 1.1
        self.assertEqual(self._good(), ['r0', 'r1'])
        self.ejection.record_failure('r0')
        self.clock.now += 1.1
        self.assertEqual(self._good(), ['r1'])

    def test_success_forgets(self) -> None:
        """Failures count only in a row."""
        self.ejection.record_failure('r0')
        self.ejection.record_failure('r0')
        self.ejection.record_success('r0')
        self.ejection.record_failure('r0')
        self.assertEqual(self._good(), ['r0', 'r1'])

    def test_never_all(self) -> None:
        """If all fail, all are tried."""
        for name in ('r0', 'r1'):
            for _ in range(3):
                self.ejection.record_failure(name)
        self.assertEqual(self._good(), ['r0', 'r1'])

    def _good(self) -> list[str]:
        good = self.ejection.without_ejected(self.replicas)
        return [replica.id for replica in good]
