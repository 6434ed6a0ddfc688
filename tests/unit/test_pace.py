"""Slow targets: learned by the gaps of streams, told to other nodes."""

import functools
import random
import unittest

import attrs
import curio

from cranecart.dispatch import PaceRegistry, ReplicaState, draw_by_pace
from cranecart.dispatch._pace import GapSample
from cranecart.mesh._slow_targets import SlowTargetReports
from cranecart.models import EngineTiming, RouteConfig
from cranecart.ports import Incarnation
from cranecart.routing import TargetPaces
from cranecart.simulation import Outcome
from tests.lib.fake_targets import (
    CONFIG,
    ENGINES,
    MODEL,
    Exchange,
    GatewayTestbed,
)
from tests.lib.simulated_cluster import SimulatedCluster
from tools.engine_loads import (
    PROFILE,
    PolicyFactory,
    make_forecast,
    make_pace,
    simulate_slow_third,
)

_SLOW = Incarnation('slow')
_TARGETS = tuple(Incarnation(f'i-{number:010}') for number in range(40))
_PASS_SECONDS = 0.03
_PACE = 6
# The engines of the testbed, with a pass of 0.03 s.
_TIMING = EngineTiming(
    step_seconds=_PASS_SECONDS, request_seconds=0, steps_a_pass=1
)


def _config() -> RouteConfig:
    service = CONFIG.services[ENGINES]
    assert service.engine is not None
    engine = attrs.evolve(service.engine, timing=_TIMING)
    return attrs.evolve(
        CONFIG,
        services={ENGINES: attrs.evolve(service, engine=engine)},
    )


class PaceRegistryTest(unittest.TestCase):
    """What one node learns, and what it takes over from others."""

    def setUp(self) -> None:
        """Let a node measure targets that are as declared."""
        self.registry = PaceRegistry()
        for target in _TARGETS:
            self._record(target, 1, 10)

    def test_one_measurement_shows_a_slow_target(self) -> None:
        """Many nodes send it so little that ten measurements take too long."""
        self._record(_SLOW, _PACE, 10)
        self.assertGreater(self.registry.pace(_SLOW, 'm', 10), 3)
        self.assertEqual(self.registry.slow(10), {'slow': 600})
        self.assertEqual(self.registry.pace(_TARGETS[0], 'm', 10), 1)

    def test_a_slow_target_is_tried_again_by_degrees(self) -> None:
        """Its share grows while nothing is measured, so that few try first."""
        self._record(_SLOW, _PACE, 10)
        paces = [
            self.registry.pace(_SLOW, 'm', at) for at in (10, 12, 13.5, 14)
        ]
        self.assertEqual(paces, sorted(paces, reverse=True))
        self.assertEqual(paces[-1], 1)
        self.assertFalse(self.registry.slow(14))

    def test_a_slow_model_or_node_is_no_slow_target(self) -> None:
        """What slows all targets alike is not blamed on any of them."""
        for _round in range(2):
            for target in _TARGETS[:10]:
                self._record(target, _PACE, 11)
        self.assertFalse(self.registry.slow(11))
        self._record(_TARGETS[11], _PACE, 11)
        self.assertEqual(self.registry.pace(_TARGETS[11], 'm', 11), 1)

    def test_a_node_that_just_became_slow_reports_nothing(self) -> None:
        """Its measurements before that are no comparison yet."""
        for target in _TARGETS[:4]:
            self._record(target, _PACE, 11)
        self.assertFalse(self.registry.slow(11))

    def test_a_report_counts_until_it_expires(self) -> None:
        """A node that sent nothing there knows it, also after lost reports."""
        self.registry.merge('other', {'slow': 600}, 10)
        self.assertGreater(self.registry.pace(_SLOW, 'm', 10), 3)
        self.assertEqual(self.registry.slow(10), {})
        self.registry.prune(_TARGETS, 12)
        self.assertEqual(self.registry.pace(_SLOW, 'm', 12), 1)

    def test_a_usual_measurement_contradicts_a_report(self) -> None:
        """So a target is not avoided for long after it has recovered."""
        self.registry.merge('other', {'slow': 600}, 10)
        before = self.registry.pace(_SLOW, 'm', 10)
        self._record(_SLOW, 1, 10)
        self.assertLess(self.registry.pace(_SLOW, 'm', 10), before - 1)
        self.assertEqual(self.registry.slow(10), {'slow': 100})

    def test_a_malformed_report_has_bounded_effect(self) -> None:
        """Other versions may report zero or a huge number."""
        self.registry.merge('other', {'slow': 0, 'i-0000000000': 10**9}, 10)
        self.assertEqual(self.registry.pace(_SLOW, 'm', 10), 1)
        self.assertLess(self.registry.pace(_TARGETS[0], 'm', 10), 16)

    def _record(self, target: Incarnation, pace: float, now: float) -> None:
        self.registry.record(
            target, 'm', _PASS_SECONDS, pace * _PASS_SECONDS, now
        )


class MeasurementTest(unittest.TestCase):
    """How gaps become measurements and paces become shares."""

    def test_prompts_of_others_do_not_lengthen_the_typical_gap(self) -> None:
        """Nor does an event that arrived together with the one before."""
        sample = GapSample()
        self.assertIsNone(sample.add(0.2))
        self.assertIsNone(sample.add(0))
        self.assertIsNone(sample.add(0.09))
        self.assertEqual(sample.add(0.03), 0.03)

    def test_share_is_in_proportion_to_pace(self) -> None:
        """A target at a fifth of its pace takes part in a fifth."""
        source = random.Random(1)
        states = [ReplicaState('slow', 0, pace=5), ReplicaState('ok', 0)]
        drawn = [draw_by_pace(source, states, 13) for _number in range(1000)]
        self.assertAlmostEqual(
            sum(len(chosen) == 2 for chosen in drawn) / 1000, 0.2, delta=0.04
        )
        self.assertEqual(draw_by_pace(source, states[:1], 13), states[:1])

    def test_a_slow_target_helps_where_the_others_are_busy(self) -> None:
        """Its chance stays the same, but its pace no longer rules it out."""
        states = [ReplicaState('slow', 0, pace=5), ReplicaState('ok', 12)]
        drawn = [
            draw_by_pace(random.Random(seed), states, 13) for seed in range(100)
        ]
        self.assertEqual(
            {len(chosen): chosen[0].pace for chosen in drawn}, {1: 1, 2: 1}
        )
        self.assertLess(sum(len(chosen) == 2 for chosen in drawn), 40)


class TargetPacesTest(unittest.TestCase):
    """Streams at this node: what is measured, logged and counted."""

    def setUp(self) -> None:
        """Measure a few usual streams first."""
        self.now = float(100)
        self.paces = TargetPaces(is_enabled=True, clock=lambda: self.now)
        for target in _TARGETS[:8]:
            self._stream(target, _PASS_SECONDS)

    def test_a_slow_target_is_logged_once_and_again_when_normal(self) -> None:
        """Operators see since when it gets less, and on whose word."""
        with self.assertLogs('cranecart.decisions') as logs:
            self._stream(_SLOW, _PACE * _PASS_SECONDS)
            for _turn in range(12):
                self.paces.refresh((*_TARGETS, _SLOW))
                self.now += 0.5
        self.assertEqual(
            [record.msg for record in logs.records],
            ['target_slow', 'target_normal'],
        )
        counts = self.paces.counts()
        self.assertEqual(counts['targets_became_slow'], 1)
        self.assertEqual(counts['slow_targets'], 0)

    def test_a_client_that_reads_slowly_makes_no_slow_target(self) -> None:
        """Its stream's gaps are those of the client."""
        self._stream(_SLOW, _PASS_SECONDS, sending_seconds=0.3)
        self.assertEqual(self.paces.pace(_SLOW, 'large'), 1)

    def test_nothing_happens_unless_enabled(self) -> None:
        """A deployment without the setting sends and selects as before."""
        self.paces = TargetPaces(clock=lambda: self.now)
        self._stream(_SLOW, _PACE * _PASS_SECONDS)
        self.paces.merge('other', {'slow': 600})
        self.assertEqual(self.paces.pace(_SLOW, 'large'), 1)
        self.assertEqual(self.paces.report(), {})
        self.assertEqual(self.paces.counts(), {})

    def _stream(
        self, target: Incarnation, gap: float, sending_seconds: float = 0
    ) -> None:
        stream = self.paces.track_stream(
            target, PROFILE, 'large', lambda _name: 1
        )
        for _event in range(9):
            self.now += gap
            stream.record_event()
            self.now += sending_seconds
            stream.record_sent()


def _bytes_per_node(cluster: SimulatedCluster) -> float:
    """Return the bytes that a node sends in a second, on average."""
    cluster.run(1)
    cluster.sent_bytes.clear()
    cluster.run(2)
    return cluster.sent_bytes.total() / 2 / len(cluster.nodes)


class StreamedRequestTest(unittest.TestCase):
    """Requests through a gateway, with targets that stream at their pace."""

    def test_a_slow_target_is_found_by_its_streams(self) -> None:
        """It is reported, and later requests know its pace."""
        testbed = GatewayTestbed(
            *(functools.partial(_stream, pace) for pace in (1, 1, _PACE))
        )
        testbed.config = _config()
        testbed.router.paces.is_enabled = True
        curio.run(testbed.run, self._ask_until_reported)

    async def _ask_until_reported(self, testbed: GatewayTestbed) -> None:
        slow = testbed.targets[2].name
        paces = testbed.router.paces
        report: dict[str, int] = {}
        for number in range(40):
            if not report:
                await testbed.ask('/stream/x', request_id=f'r{number}')
                report = paces.report()
        self.assertEqual(set(report), {slow})
        self.assertGreater(report[slow], 250)
        self.assertGreater(paces.pace(Incarnation(slow), MODEL), 1.5)


async def _stream(pace: float, exchange: Exchange) -> None:
    await exchange.start_stream()
    for number in range(1, 7):
        await exchange.events(number, number)
        await curio.sleep(pace * _PASS_SECONDS)
    await exchange.end_stream()


class SlowThirdTest(unittest.TestCase):
    """A third of the replicas is six times slower at a peak, in simulation."""

    def test_fewer_are_late_with_many_nodes(self) -> None:
        """Of 100 requests 4 are late instead of 9, over 6 seeds."""
        before = self._late_share(make_forecast)
        self.assertLess(self._late_share(make_pace), 0.6 * before)

    def _late_share(self, make_policy: PolicyFactory) -> float:
        simulated = [
            simulate_slow_third(make_policy, 16, seed) for seed in range(2)
        ]
        return sum(outcome.share(Outcome.LATE) for outcome in simulated)


class SlowTargetExchangeTest(unittest.TestCase):
    """Reports reach all nodes, directly and through relays."""

    def test_report_of_one_node_reaches_all(self) -> None:
        """It does so in small and in relayed deployments."""
        for count in (9, 30):
            cluster = SimulatedCluster.of(count)
            cluster.run(1.5)
            cluster.nodes['node-008'].mesh.local.slow_targets = {'slow': 600}
            cluster.run(1)
            hearing = [
                name
                for name, node in cluster.nodes.items()
                if 600 in node.slow_targets.values()
            ]
            self.assertGreaterEqual(len(hearing), count - 1)

    def test_bytes_are_bounded(self) -> None:
        """At most 0.5 KB/s a node, if all nodes report all they may."""
        cluster = SimulatedCluster.of(60)
        cluster.run(1.5)
        without_reports = _bytes_per_node(cluster)
        for number, node in enumerate(cluster.alive):
            slow = _TARGETS[number % len(_TARGETS)].id
            node.mesh.local.slow_targets = {slow: 600}
        added = _bytes_per_node(cluster) - without_reports
        self.assertLessEqual(added, 512)

    def test_summaries_are_bounded_and_complete_in_turn(self) -> None:
        """Targets that do not fit into one summary are in the next ones."""
        reports = SlowTargetReports()
        heartbeats = [{target.id: 300} for target in _TARGETS]
        summaries = [reports.merge(heartbeats) for _turn in range(20)]
        self.assertLessEqual(max(map(len, summaries)), 2)
        self.assertEqual(len(set().union(*summaries)), len(_TARGETS))
        self.assertEqual(reports.merge([{'a': 900}, {'a': 100}]), {'a': 300})
