"""Shares, rates, budgets and admission."""

import itertools
import unittest

import attrs
from hypothesis import given
from hypothesis import strategies as st

from cranecart.declarations import LimitsSpec, OrganisationSpec, Priority
from cranecart.exceptions import LimitedError, OverloadedError
from cranecart.limits import Admission, Capacity, LimitShares, TokenRateLimiter
from cranecart.retries import RetryBudget

_NAME = 'o'
_ORGANISATION = OrganisationSpec(_NAME, (), LimitsSpec(10, 100))
_NODES = 4
# What is admitted together never exceeds the limit, but for rounding.
_MOST = 1.000001


@attrs.define
class _Clock:
    now: float = 10

    def __call__(self) -> float:
        return self.now


class _World:
    """Nodes that hear each other's demand a second late."""

    def __init__(self, limit: int = 0) -> None:
        self.limit = limit
        self.clock = _Clock()
        self.nodes = [LimitShares(self.clock) for _ in range(_NODES)]
        self.demands = list(itertools.repeat(0, _NODES))
        for one, other in itertools.permutations(range(_NODES), 2):
            self.nodes[one].record_demand(str(other), {})

    def step(self, demands: list[int]) -> float:
        """Let a second pass; return the shares of all nodes together."""
        said = [node.demand() for node in self.nodes]
        for number, wanted in enumerate(demands):
            self._want(number, wanted)
        self.clock.now += 1
        together = sum(node.share(_NAME, self.limit) for node in self.nodes)
        for one, other in itertools.permutations(range(_NODES), 2):
            self.nodes[one].record_demand(str(other), said[other])
        return together

    def _want(self, number: int, wanted: int) -> None:
        change = wanted - self.demands[number]
        self.demands[number] = wanted
        node = self.nodes[number]
        for _ in range(abs(change)):
            (node.call_started if change > 0 else node.call_ended)(_NAME)


class SharesTest(unittest.TestCase):
    """All shares together."""

    @given(
        st.lists(
            st.lists(st.integers(0, 40), min_size=_NODES, max_size=_NODES),
            min_size=1,
            max_size=30,
        ),
        st.sampled_from([0, 10, 100]),
    )
    def test_bounded_while_demand_moves_and_one_when_it_rests(
        self,
        steps: list[list[int]],
        limit: int,
    ) -> None:
        """Whatever the demand does; and after it rests they add up to one."""
        world = _World(limit)
        for demands in steps:
            self.assertLessEqual(world.step(demands), _MOST)
        for _ in range(12):
            together = world.step(steps[-1])
        self.assertAlmostEqual(together, 1)

    def test_shares_follow_demand(self) -> None:
        """A busy node gets what idle ones do not use."""
        world = _World()
        for _ in range(8):
            world.step([40, 0, 0, 0])
        self.assertGreater(world.nodes[0].share(_NAME), 0.9)

    def test_a_node_that_starts_gets_a_part_of_what_is_free(self) -> None:
        """Three others have five calls each, of forty that are allowed."""
        shares = LimitShares(float)
        for source in ('b', 'c', 'd'):
            shares.record_demand(source, {'org': 5})
        shares.call_started('org')
        self.assertGreaterEqual(40 * shares.share('org', 40), 6)

    def test_a_stopping_node_leaves_its_part_at_once(self) -> None:
        """Its clients come to the others at once, so the share does too."""
        shares = LimitShares(float)
        for source in ('b', 'c'):
            shares.record_demand(source, {'org': 3})
        before = shares.share('org')
        shares.remove_source('b')
        self.assertAlmostEqual(before, 1 / 9)
        self.assertAlmostEqual(shares.share('org'), 1 / 5)

    def test_cut_off_keeps_its_share(self) -> None:
        """A node that hears nobody does not take the whole limit."""
        world = _World()
        for _ in range(8):
            world.step([10, 10, 10, 10])
        world.clock.now += 30
        self.assertAlmostEqual(world.nodes[0].share(_NAME), 0.25)


class AdmissionTest(unittest.TestCase):
    """What is let in."""

    def setUp(self) -> None:
        """Make an admission for a node that is alone."""
        self.clock = _Clock()
        self.shares = LimitShares(self.clock)
        rates = TokenRateLimiter(self.shares.share, self.clock)
        self.admission = Admission(Capacity(calls=8), self.shares, rates)

    def test_low_priority_is_shed_first(self) -> None:
        """A node that fills up turns away low, then normal, then high."""
        admitted = {
            priority: self._fill(priority) for priority in reversed(Priority)
        }
        self.assertEqual(admitted[Priority.LOW], 6)
        self.assertEqual(admitted[Priority.NORMAL], 2)
        self.assertEqual(admitted[Priority.HIGH], 0)

    def test_organisation_limit(self) -> None:
        """The eleventh call at once of an organisation is refused."""
        self.admission = Admission(
            Capacity(),
            self.shares,
            TokenRateLimiter(self.shares.share, self.clock),
        )
        self.assertEqual(self._fill(Priority.HIGH), 10)

    def test_a_refusal_says_when_to_come_back(self) -> None:
        """After that time the tokens are there."""
        rates = TokenRateLimiter(self.shares.share, self.clock)
        rates.take(_ORGANISATION, 400)
        with self.assertRaises(LimitedError) as caught:
            rates.take(_ORGANISATION, 50)
        assert caught.exception.retry_after is not None
        self.clock.now += caught.exception.retry_after + 0.001
        rates.take(_ORGANISATION, 50)

    def _fill(self, priority: Priority) -> int:
        """Admit calls that never end until one is refused."""
        for number in range(100):
            admitted = self.admission.admit(_ORGANISATION, priority)
            try:
                admitted.__enter__()
            except (LimitedError, OverloadedError):
                return number
            self.addCleanup(admitted.__exit__, None, None, None)
        raise AssertionError('nothing was refused')


class RetryBudgetTest(unittest.TestCase):
    """Retries stay a small part."""

    @given(st.integers(0, 2000))
    def test_at_most_a_tenth_and_a_few(self, calls: int) -> None:
        """If every call wants to be retried."""
        budget = RetryBudget()
        retries = 0
        for _ in range(calls):
            budget.deposit()
            retries += budget.withdraw()
        self.assertLessEqual(retries, calls / 10 + 11)
