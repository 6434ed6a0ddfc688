"""A model that is short serves urgent requests first, and refuses at once.

Simulated on the contended deployment's large model (tools.shortage), with twice
the load that fits and a third of the clients retrying three times at once.
"""

import itertools
import unittest

import attrs
import curio

from cranecart.clocks import since_boot
from cranecart.dispatch import (
    Admission,
    DispatchRequest,
    Refuse,
    ReplicaState,
    Send,
    decide,
)
from cranecart.exceptions import OverloadedError
from cranecart.mesh import LocalState
from cranecart.models import KeyHolder, hash_key
from cranecart.routing import RoutingRequest
from cranecart.serving._node_demand import NodeDemand
from cranecart.simulation import Outcome, Result
from tests.lib.fake_targets import (
    CONFIG,
    ENGINES,
    MODEL,
    Exchange,
    GatewayTestbed,
)
from tools.engine_loads import PROFILE, SMALL, route
from tools.shortage_loads import (
    POLICIES,
    SCENARIOS,
    served_fraction,
    simulate_shortage,
    size_ratios,
)

_PLANNED = POLICIES['planned']
_SEEDS = (1, 2)
_ORGANISATIONS = ('large', 'small')
_REQUEST = DispatchRequest(route(), PROFILE, SMALL, 600, 0, 6, 0.065)
_STREAM = next(known for known in CONFIG.routes if known.name == 'stream')
# Shortages are divided where the routes of a service differ in rank.
_OTHER_RANK = attrs.evolve(_STREAM, name='other', prefix='/other/', rank=2)
_RANKED_CONFIG = attrs.evolve(CONFIG, routes=(*CONFIG.routes, _OTHER_RANK))
_ROUTING = RoutingRequest(
    _RANKED_CONFIG, CONFIG.routes[0], ENGINES, MODEL, 500, 5
)


class PlannedAdmissionTest(unittest.TestCase):
    """Simulated runs under the plan."""

    def test_half_of_the_load_fits(self) -> None:
        """Ranks keep their order, and no part of a class starves."""
        for name, seed in itertools.product(('half fits', 'surges'), _SEEDS):
            with self.subTest(scenario=name, seed=seed):
                run = simulate_shortage(_PLANNED, SCENARIOS[name], seed)
                urgent, other = (_served(run, rank) for rank in (1, 2))
                self.assertGreaterEqual(urgent, other - 0.05)
                returned = served_fraction(run, lambda client: client.is_retry)
                self.assertGreaterEqual(returned, 0.8)
                for rank in (1, 2):
                    self.assertGreater(min(size_ratios(run, rank)), 0.5)

    def test_a_calm_day_is_as_before(self) -> None:
        """Every request is served, and at the same time as without a plan."""
        planned, forecast = (
            simulate_shortage(POLICIES[name], SCENARIOS['calm'], 1)
            for name in ('planned', 'forecast')
        )
        self.assertEqual(planned.counts, forecast.counts)
        self.assertEqual(planned.share(Outcome.REFUSED), 0)


def _served(run: Result, rank: int) -> float:
    return served_fraction(run, lambda request: request.route.rank == rank)


class DecideTest(unittest.TestCase):
    """Decisions about requests beyond their share, and ranks."""

    def test_beyond_its_share_only_spare_slots_are_used(self) -> None:
        """A slot that admitted requests need soon is not taken."""
        beyond = attrs.evolve(_REQUEST, admission=Admission.BEYOND_SHARE)
        free, busy = ReplicaState('free', 6), ReplicaState('busy', 11)
        sent = decide(beyond, [busy, free])
        self.assertEqual(
            (sent.name, sent.is_deferred, sent.is_beyond_share),  # type: ignore[union-attr]
            ('free', True, True),
        )
        self.assertEqual(decide(beyond, [busy]), Refuse(0, True))
        # A stream that has begun is not refused.
        resumed = attrs.evolve(beyond, is_resumed=True)
        self.assertIsInstance(decide(resumed, [busy]), Send)

    def test_less_urgent_requests_are_not_ahead(self) -> None:
        """An urgent request was deferred for the queue that it passes."""
        queue = ReplicaState('full', 22)
        self.assertTrue(decide(_REQUEST, [queue]).is_deferred)  # type: ignore[union-attr]
        passing = attrs.evolve(_REQUEST, passed_fraction=0.9)
        self.assertFalse(decide(passing, [queue]).is_deferred)  # type: ignore[union-attr]


class RouterTest(unittest.TestCase):
    """The router of a node at which two organisations ask for too much."""

    def setUp(self) -> None:
        """Measure a load of twenty replicas where two serve."""
        self.router = GatewayTestbed(_unused, _unused).router
        exchange = self.router.shortage.exchange
        for organisation in ('large', 'small'):
            work = 39 if organisation == 'large' else 1
            exchange.record_arrival(
                MODEL, 1, organisation, 0, work, since_boot()
            )
        exchange.record_shortage(MODEL, since_boot())
        self.large = attrs.evolve(
            _ROUTING, rank=1, organisation='large', token=0.9
        )

    def test_a_refusal_tells_its_inputs(self) -> None:
        """Rank, organisation, loads and token stand in the log line."""
        self.router._remote_in_flight = lambda _name: 100
        with self.assertRaises(OverloadedError) as caught:
            self.router.choose(self.large)
        self.assertIn('beyond its share: ', str(caught.exception))
        self.assertIn("of 'large' gets 0.0", str(caught.exception))
        # This client would be refused again, so it is not asked back in time.
        self.assertEqual(caught.exception.retry_after, 5)
        counts = self.router.shortage.counts()
        self.assertEqual(counts['beyond_share_refused'], 1)

    def test_one_that_will_be_served_is_asked_back(self) -> None:
        """Clients honour at most a third of their remaining time."""
        self.router._remote_in_flight = lambda _name: 100
        plan = self.router.shortage.exchange.plan(MODEL, 2, since_boot())
        assert plan is not None
        fraction = self.router.shortage.exchange.fraction(plan, 1, 'large')
        near = attrs.evolve(self.large, token=fraction * 1.05)
        with self.assertRaises(OverloadedError) as caught:
            self.router.choose(near)
        self.assertLessEqual(caught.exception.retry_after, 5 / 3)

    def test_free_slots_are_used(self) -> None:
        """A request beyond its share is not refused beside free slots."""
        target = self.router.choose(self.large)
        self.assertTrue(target.reason.startswith('a free slot, beyond'))

    def test_equal_ranks_leave_decisions_as_they_were(self) -> None:
        """No plan is made for a deployment whose operator ranks nothing."""
        unranked = attrs.evolve(self.large, config=CONFIG)
        self.assertEqual(self.router.choose(unranked).reason, 'in time')

    def test_an_organisation_under_its_share_is_admitted(self) -> None:
        """It is sent like any request of a model that is not short."""
        small = attrs.evolve(self.large, organisation='small')
        self.assertEqual(self.router.choose(small).reason, 'in time')


class GatewayTest(unittest.TestCase):
    """A node whose clients of one organisation ask for far too much."""

    def test_the_measured_load_reaches_the_decision(self) -> None:
        """Requests of the other organisation are not refused by the plan."""
        testbed = GatewayTestbed(_serve_slowly)
        demand = NodeDemand(testbed.router.shortage.exchange)
        testbed.gateway._on_admitted = demand.record_request
        testbed.gateway._on_streamed = demand.record_work
        testbed.config = attrs.evolve(
            _RANKED_CONFIG,
            holders=tuple(
                KeyHolder(name, (hash_key(name),)) for name in _ORGANISATIONS
            ),
        )
        bodies: dict[str, list[bytes]] = {name: [] for name in _ORGANISATIONS}
        curio.run(testbed.run, lambda bed: _surge(bed, bodies))
        refused = {
            name: sum(b'beyond its share' in body for body in received)
            for name, received in bodies.items()
        }
        self.assertGreater(refused['large'], 20)
        self.assertEqual(refused['small'], 0)
        local = LocalState('n1', 'n1', 'east')
        demand.update(local)
        self.assertEqual(len(local.offered), 3)


async def _surge(
    testbed: GatewayTestbed, bodies: dict[str, list[bytes]]
) -> None:
    async def ask(number: int) -> None:  # noqa: WPS430
        name = _ORGANISATIONS[number % 25 == 24]
        answer = await testbed.ask(
            '/stream/x', key=name, request_id=f'r{number}'
        )
        bodies[name].append(answer.body)

    async with curio.TaskGroup() as tasks:
        for number in range(150):
            await tasks.spawn(ask, number)
            await curio.sleep(0.005)


async def _serve_slowly(exchange: Exchange) -> None:
    await curio.sleep(0.4)
    await exchange.start_stream()
    await exchange.events(1, 3)
    await exchange.end_stream()


async def _unused(_exchange: object) -> None:
    """Answer nothing, as no request is sent."""


if __name__ == '__main__':
    unittest.main()
