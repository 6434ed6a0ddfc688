"""Limit shares, token rates, retry budgets and admission."""

import itertools
import unittest

from hypothesis import given
from hypothesis import strategies as st

from cranecart.declarations import LimitsSpec, OrganisationSpec, Priority
from cranecart.exceptions import OverLimitError, OverloadedError
from cranecart.limits import Admission, Capacity, LimitShares, TokenRateLimiter
from cranecart.retries import RetryBudget
from tests.lib.fake_clock import FakeClock

_NAME = 'o'
_ORGANISATION = OrganisationSpec(_NAME, (), LimitsSpec(10, 100))
_NODES = 4
# The shares of all nodes never exceed the limit, but for rounding.
_MAX_TOTAL_SHARE = 1.000001


class _Nodes:
    """Nodes that receive each other's demand with a delay of a second."""

    def __init__(self, limit: int = 0) -> None:
        self.limit = limit
        self.clock = FakeClock()
        self.nodes = [LimitShares(self.clock) for _ in range(_NODES)]
        self.demands = list(itertools.repeat(0, _NODES))
        for one, other in itertools.permutations(range(_NODES), 2):
            self.nodes[one].record_demand(str(other), {})

    def step(self, demands: list[int]) -> float:
        """Let a second pass; return the sum of the shares of all nodes."""
        published = [node.demand() for node in self.nodes]
        for number, demand in enumerate(demands):
            self._set_demand(number, demand)
        self.clock.now += 1
        total = sum(node.share(_NAME, self.limit) for node in self.nodes)
        for one, other in itertools.permutations(range(_NODES), 2):
            self.nodes[one].record_demand(str(other), published[other])
        return total

    def _set_demand(self, number: int, demand: int) -> None:
        change = demand - self.demands[number]
        self.demands[number] = demand
        node = self.nodes[number]
        for _ in range(abs(change)):
            (node.call_started if change > 0 else node.call_ended)(_NAME)


class SharesTest(unittest.TestCase):
    """The shares of all nodes together."""

    @given(
        st.lists(
            st.lists(st.integers(0, 40), min_size=_NODES, max_size=_NODES),
            min_size=1,
            max_size=30,
        ),
        st.sampled_from([0, 10, 100]),
    )
    def test_shares_add_up_to_at_most_one(
        self,
        steps: list[list[int]],
        limit: int,
    ) -> None:
        """They never exceed one, and reach one once demand is constant."""
        cluster = _Nodes(limit)
        for demands in steps:
            self.assertLessEqual(cluster.step(demands), _MAX_TOTAL_SHARE)
        for _ in range(12):
            total = cluster.step(steps[-1])
        self.assertAlmostEqual(total, 1)

    def test_shares_follow_demand(self) -> None:
        """A busy node gets the share that idle ones do not use."""
        cluster = _Nodes()
        for _ in range(8):
            cluster.step([40, 0, 0, 0])
        self.assertGreater(cluster.nodes[0].share(_NAME), 0.9)

    def test_a_new_node_gets_a_share_of_free_capacity(self) -> None:
        """The three other nodes have five calls each, of a limit of forty."""
        shares = LimitShares(float)
        for source in ('b', 'c', 'd'):
            shares.record_demand(source, {'org': 5})
        shares.call_started('org')
        self.assertGreaterEqual(40 * shares.share('org', 40), 6)

    def test_a_stopped_node_frees_its_share_at_once(self) -> None:
        """Its clients move to the other nodes at once."""
        shares = LimitShares(float)
        for source in ('b', 'c'):
            shares.record_demand(source, {'org': 3})
        before = shares.share('org')
        shares.remove_source('b')
        self.assertAlmostEqual(before, 1 / 9)
        self.assertAlmostEqual(shares.share('org'), 1 / 5)

    def test_an_isolated_node_keeps_its_share(self) -> None:
        """A node that receives no demand does not take the whole limit."""
        cluster = _Nodes()
        for _ in range(8):
            cluster.step([10, 10, 10, 10])
        cluster.clock.now += 30
        self.assertAlmostEqual(cluster.nodes[0].share(_NAME), 0.25)


class AdmissionTest(unittest.TestCase):
    """Which calls are admitted."""

    def setUp(self) -> None:
        """Create the admission control of a single node."""
        self.clock = FakeClock()
        self.shares = LimitShares(self.clock)
        rates = TokenRateLimiter(self.shares.share, self.clock)
        self.admission = Admission(Capacity(calls=8), self.shares, rates)

    def test_low_priority_is_shed_first(self) -> None:
        """A node that fills up refuses low, then normal, then high priority."""
        admitted = {
            priority: self._admit_until_refused(priority)
            for priority in reversed(Priority)
        }
        self.assertEqual(admitted[Priority.LOW], 6)
        self.assertEqual(admitted[Priority.NORMAL], 2)
        self.assertEqual(admitted[Priority.HIGH], 0)

    def test_organisation_limit_is_enforced(self) -> None:
        """The eleventh concurrent call of an organisation is refused."""
        self.admission = Admission(
            Capacity(),
            self.shares,
            TokenRateLimiter(self.shares.share, self.clock),
        )
        self.assertEqual(self._admit_until_refused(Priority.HIGH), 10)

    def test_a_refusal_says_when_to_retry(self) -> None:
        """The tokens are available after that time."""
        rates = TokenRateLimiter(self.shares.share, self.clock)
        rates.take(_ORGANISATION, 400)
        with self.assertRaises(OverLimitError) as caught:
            rates.take(_ORGANISATION, 50)
        assert caught.exception.retry_after is not None
        self.clock.now += caught.exception.retry_after + 0.001
        rates.take(_ORGANISATION, 50)

    def _admit_until_refused(self, priority: Priority) -> int:
        """Admit calls that never end until one is refused; count them."""
        for number in range(100):
            admission = self.admission.admit(_ORGANISATION, priority)
            try:
                admission.__enter__()
            except (OverLimitError, OverloadedError):
                return number
            self.addCleanup(admission.__exit__, None, None, None)
        raise AssertionError('no call was refused')


class RetryBudgetTest(unittest.TestCase):
    """Retries stay a small part of the traffic."""

    @given(st.integers(0, 2000))
    def test_retries_are_bounded(self, calls: int) -> None:
        """At most a tenth of the calls plus eleven, even if all are retried."""
        budget = RetryBudget()
        retries = 0
        for _ in range(calls):
            budget.deposit()
            retries += budget.withdraw()
        self.assertLessEqual(retries, calls / 10 + 11)
