"""Evacuated failure domains: what a node knows, and where it sends."""

import time
from collections.abc import Awaitable, Callable
from unittest import TestCase, main, mock

import attrs
import curio

from cranecart.clocks import since_boot
from cranecart.fleet import Evacuations
from cranecart.forwarding import ResumeGuard, TargetConnectionPool
from cranecart.http import HttpConnection
from cranecart.models import Evacuation
from cranecart.ports import ListedInstance, make_version
from tests.lib.fake_targets import (
    ENGINES,
    PLAIN,
    Exchange,
    FakeTarget,
    GatewayTestbed,
)
from tests.lib.simulated_cluster import SimulatedCluster
from tests.lib.waiting import until

_PATHS = ((ENGINES, '/stream/x'), (PLAIN, '/safe/x'), (PLAIN, '/unsafe/x'))
_MAX_REFUSAL_SECONDS = 0.5
_ACQUIRE = TargetConnectionPool.acquire


class EvacuationsTest(TestCase):
    """One node's view, from reads and from other nodes."""

    def setUp(self) -> None:
        """Start without any evacuation."""
        self.evacuations = Evacuations()

    def test_highest_version_wins(self) -> None:
        """Late messages of other nodes change nothing."""
        self._apply(7, Evacuation('a', 7, True))
        self.assertFalse(self._merge(Evacuation('a', 6, False)))
        self.assertTrue(self._merge(Evacuation('a', 8, False)))
        self.assertFalse(self._merge(Evacuation('a', 7, True)))
        self.assertEqual(self.evacuations.active(), frozenset())
        self.assertEqual(self.evacuations.changes, 2)

    def test_complete_read_ends_missing_ones(self) -> None:
        """Only those that are not newer than the read end with it."""
        self._merge(Evacuation('a', 3, True), Evacuation('b', 9, True))
        self._apply(5, is_complete=True)
        self.assertEqual(self.evacuations.active(), {'b'})
        self.assertIn(Evacuation('a', 5, False), self.evacuations.known())

    def test_a_node_announces_an_evacuation_that_has_ended(self) -> None:
        """A node that was cut off would withdraw the targets everywhere."""
        self._apply(5, is_complete=True)
        self.assertFalse(self._merge(Evacuation('a', 3, True)))
        self.assertEqual(self.evacuations.known(), (Evacuation('a', 5, False),))
        self.assertTrue(self._merge(Evacuation('b', 6, True)))

    def test_a_node_announces_a_repeated_evacuation_that_has_ended(
        self,
    ) -> None:
        """The same for a domain whose earlier evacuation and end are known."""
        self._apply(2, Evacuation('a', 2, False))
        self._apply(5, is_complete=True)
        self.assertFalse(self._merge(Evacuation('a', 3, True)))
        self.assertEqual(self.evacuations.known(), (Evacuation('a', 5, False),))

    def test_first_read_of_a_restored_store(self) -> None:
        """Rows of an earlier era end only with the second complete read."""
        self._apply(make_version(1, 2), is_complete=True)
        self._merge(Evacuation('a', 8, True))
        self._apply(make_version(2, 3), is_complete=True)
        self.assertTrue(self.evacuations.is_evacuated('a'))
        self.assertTrue(self.evacuations.lacks_restored_rows)
        self._apply(make_version(2, 4), is_complete=True)
        self.assertFalse(self.evacuations.is_evacuated('a'))
        self.assertFalse(self.evacuations.lacks_restored_rows)

    def _apply(
        self, version: int, *items: Evacuation, is_complete: bool = False
    ) -> None:
        self.evacuations.apply(items, is_complete, version, 'store')

    def _merge(self, *evacuations: Evacuation) -> bool:
        return self.evacuations.merge(evacuations, 'node-2')


class SharedEvacuationsTest(TestCase):
    """Nodes that learn of evacuations from heartbeats, through relays or not."""

    def test_all_nodes_learn_from_one(self) -> None:
        """Nothing is sent without evacuations; then all nodes learn of it.

        A node that starts later learns of it as well.
        """
        for count in (9, 30):
            with self.subTest(nodes=count):
                cluster = SimulatedCluster.of(count)
                cluster.run(1.5)
                heartbeat = cluster.nodes[
                    'node-004'
                ].message_sender.build_heartbeat()
                self.assertEqual(heartbeat.evacuations, [])
                evacuation = Evacuation('domain-1', 3, True)
                cluster.nodes['node-004'].evacuations.merge([evacuation], '')
                cluster.run(1)
                self._assert_known(cluster, evacuation)
                cluster.run(3)
                cluster.start('node-099')
                cluster.run(1)
                self._assert_known(cluster, evacuation)

    def test_bytes(self) -> None:
        """One evacuation costs a node less than 0.2 KB/s."""
        sent: list[int] = []
        cluster = SimulatedCluster.of(60)
        for evacuations in ([], [Evacuation('domain-1', 10**12, True)]):
            cluster.nodes['node-004'].evacuations.merge(evacuations, '')
            cluster.run(4)
            cluster.sent_bytes.clear()
            cluster.run(4)
            sent.append(sum(cluster.sent_bytes.values()))
        self.assertLess((sent[1] - sent[0]) / 60 / 4, 200)

    def _assert_known(
        self, cluster: SimulatedCluster, evacuation: Evacuation
    ) -> None:
        self.assertEqual(
            {node.evacuations.known() for node in cluster.alive},
            {(evacuation,)},
        )


class EvacuatedTargetsTest(TestCase):
    """A target in each of two failure domains."""

    def test_no_request_is_sent_there(self) -> None:
        """All requests go to the other target; then both get some again."""
        for service, path in _PATHS:
            with self.subTest(path):
                testbed = _testbed(_answer, service)
                testbed.run_with(self._ask_before_and_after, path)

    def test_evacuated_while_waiting_for_a_connection(self) -> None:
        """The request is chosen already, and must go elsewhere nevertheless."""
        for service, path in _PATHS:
            with self.subTest(path):
                testbed = _testbed(_answer, service)
                testbed.run_with(self._evacuate_chosen, path)

    def test_all_evacuated(self) -> None:
        """Requests are refused at once as not run, with a retry time."""
        for service, path in _PATHS:
            with self.subTest(path):
                testbed = _testbed(_answer, service)
                testbed.run_with(self._ask_in_vain, path)

    def test_all_evacuated_while_waiting_for_a_connection(self) -> None:
        """The refusal is the same after a target was chosen."""
        for service, path in _PATHS:
            with self.subTest(path):
                testbed = _testbed(_answer, service)
                testbed.evacuate_on_connect = ('east', 'west')
                testbed.run_with(self._assert_refused, path)

    def test_stream_finishes(self) -> None:
        """A stream in flight is neither moved nor cut off."""
        testbed = _testbed(_stream_slowly, ENGINES)
        testbed.run_with(self._evacuate_during_stream, '/stream/x')

    def test_node_wakes_up(self) -> None:
        """Messages that arrived while it was frozen are handled first."""
        testbed = _testbed(_answer, PLAIN)
        testbed.run_with(self._ask_after_freeze, '/unsafe/x')

    async def _ask_before_and_after(
        self, testbed: 'TwoDomainTestbed', path: str
    ) -> None:
        await self._assert_answered(testbed, path, 40)
        before = len(testbed.targets[0].received)
        self.assertGreater(before, 0)
        testbed.evacuate('east')
        await self._assert_answered(testbed, path, 10)
        self.assertEqual(len(testbed.targets[0].received), before)
        # None was chosen and then withdrawn.
        self.assertEqual(testbed.fleet.evacuations.withdrawn, 0)
        testbed.evacuate()
        await self._assert_answered(testbed, path, 40)
        self.assertGreater(len(testbed.targets[0].received), before)

    async def _evacuate_chosen(
        self, testbed: 'TwoDomainTestbed', path: str
    ) -> None:
        testbed.evacuate_on_connect = ('chosen',)
        await self._assert_answered(testbed, path)
        self.assertEqual(testbed.fleet.evacuations.withdrawn, 1)
        evacuated, other = sorted(
            testbed.targets, key=lambda target: len(target.received)
        )
        self.assertEqual(testbed.evacuated, (_domain(evacuated),))
        self.assertEqual(len(evacuated.received), 0)
        self.assertEqual(len(other.received), 1)

    async def _ask_in_vain(
        self, testbed: 'TwoDomainTestbed', path: str
    ) -> None:
        testbed.evacuate('east', 'west')
        await self._assert_refused(testbed, path)

    async def _assert_refused(
        self, testbed: 'TwoDomainTestbed', path: str
    ) -> None:
        started = time.monotonic()
        answer = await testbed.ask(path)
        self.assertLess(time.monotonic() - started, _MAX_REFUSAL_SECONDS)
        self.assertEqual(answer.status, 503)
        self.assertNotIn(b'outcome_unknown', answer.body)
        self.assertGreater(float(answer.headers['retry-after']), 0)
        self.assertFalse(any(target.received for target in testbed.targets))

    async def _evacuate_during_stream(
        self, testbed: 'TwoDomainTestbed', path: str
    ) -> None:
        asking = await curio.spawn(testbed.ask, path)
        await until(lambda: any(map(_has_request, testbed.targets)))
        testbed.evacuate('east', 'west')
        answer = await asking.join()
        self.assertTrue(answer.is_complete)
        self.assertEqual(sum(map(_has_request, testbed.targets)), 1)

    async def _ask_after_freeze(
        self, testbed: 'TwoDomainTestbed', path: str
    ) -> None:
        testbed.resume_guard.record_awake(since_boot() - 4)
        asking = await curio.spawn(testbed.ask, path)
        await curio.sleep(0.05)
        testbed.evacuate('east')
        await asking.join()
        self.assertEqual(len(testbed.targets[0].received), 0)
        started = time.monotonic()
        await self._assert_answered(testbed, path)
        self.assertLess(time.monotonic() - started, 0.1)

    async def _assert_answered(
        self, testbed: 'TwoDomainTestbed', path: str, times: int = 1
    ) -> None:
        for _ in range(times):
            answer = await testbed.ask(path)
            self.assertEqual(answer.status, 200)


class ResumeGuardTest(TestCase):
    """When requests are held after a pause of the process."""

    def test_holds_only_after_long_pauses(self) -> None:
        """A pause of a second, as all nodes may have, delays nothing."""
        guard = ResumeGuard()
        self.assertEqual(guard.seconds_to_wait(50), 0)
        for now, expected in ((100, 0), (101, 0), (105, 0.1), (105.1, 0)):
            guard.record_awake(now)
            self.assertAlmostEqual(guard.seconds_to_wait(now), expected)


class TwoDomainTestbed(GatewayTestbed):
    """The first target is in the domain east, the second in west.

    ``evacuate_on_connect`` are domains to evacuate once a target was chosen;
    ``chosen`` is that of the target.
    """

    evacuate_on_connect: tuple[str, ...] = ()
    evacuated: tuple[str, ...] = ()
    _version: int = 1

    def evacuate(self, *domains: str) -> None:
        """Evacuate exactly these failure domains."""
        self.evacuated = domains
        self._version += 1
        self.fleet.evacuations.apply(
            [Evacuation(domain, self._version, True) for domain in domains],
            True,
            self._version,
            'test',
        )

    def run_with(
        self,
        scenario: Callable[['TwoDomainTestbed', str], Awaitable[None]],
        path: str,
    ) -> None:
        """Run a scenario with targets and gateway."""
        patched = mock.patch.object(
            TargetConnectionPool, 'acquire', self._acquire
        )
        with patched:
            curio.run(self.run, lambda _testbed: scenario(self, path))

    async def _acquire(
        self, instance: ListedInstance, **options: bool
    ) -> HttpConnection:
        domains = self.evacuate_on_connect
        if domains:
            self.evacuate_on_connect = ()
            chosen = (instance.failure_domain,)
            self.evacuate(*(chosen if domains == ('chosen',) else domains))
        return await _ACQUIRE(self.connections, instance, **options)


def _testbed(
    script: Callable[[Exchange], Awaitable[None]], service: str
) -> TwoDomainTestbed:
    testbed = TwoDomainTestbed(script, script, service=service)
    west = attrs.evolve(testbed.fleet.instances['i1'], failure_domain='west')
    testbed.fleet.apply_instances({'i1': west}, False)
    return testbed


def _domain(target: FakeTarget) -> str:
    return {'i0': 'east', 'i1': 'west'}[target.name]


def _has_request(target: FakeTarget) -> bool:
    return bool(target.received)


async def _answer(exchange: Exchange) -> None:
    if exchange.target.startswith('/stream'):
        await exchange.start_stream()
        await exchange.events(1, 2)
        await exchange.end_stream()
    else:
        await exchange.answer(b'done')


async def _stream_slowly(exchange: Exchange) -> None:
    await exchange.start_stream()
    await exchange.events(1, 2)
    await curio.sleep(0.3)
    await exchange.events(3, 4)
    await exchange.end_stream()


if __name__ == '__main__':
    main()
