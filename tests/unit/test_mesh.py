"""What nodes know of each other, by beats and by relays."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cranecart.fleet import SourceUpdate
from cranecart.mesh import Broken, ConfigAsk, ListNews, RequestCases, Stopped
from cranecart.mesh._stop_notices import StopNotices
from cranecart.models import RouteConfig
from cranecart.ports import Incarnation, ListedInstance
from cranecart.quarantine import CaseUpdate, Termination, Verdict
from tests.lib.simulated_cluster import SimulatedCluster

_SMALL = 9
_LARGE = 30
_LARGER = 60
# Until all have spoken, the relays have, and those of other domains have.
_MEET_SECONDS = 1.5
# A silent node is tried again within two seconds.
_FIND_SECONDS = 4.0


class SmallMeshTest(unittest.TestCase):
    """Few nodes tell each other everything themselves."""

    def test_everybody_hears_everybody(self) -> None:
        """Counts are a beat old at most, without a relay between."""
        cluster = SimulatedCluster.of(_SMALL)
        cluster.run(_MEET_SECONDS)
        cluster.nodes['node-008'].in_flight['one'] = 3
        cluster.sent.clear()
        cluster.run(0.25)
        first = cluster.nodes['node-000'].mesh
        self.assertEqual(first.live_node_count(), _SMALL)
        self.assertEqual(first.in_flight_elsewhere('one'), 3)
        self.assertEqual(set(cluster.sent.values()), {_SMALL - 1})

    def test_a_silent_node_is_not_counted(self) -> None:
        """Its figures are old after a second."""
        cluster = SimulatedCluster.of(_SMALL)
        cluster.run(_MEET_SECONDS)
        cluster.dead.add('node-000')
        cluster.run(1)
        self.assertEqual(
            {node.mesh.live_node_count() for node in cluster.alive},
            {_SMALL - 1},
        )


class RelayedMeshTest(unittest.TestCase):
    """Many nodes tell a relay of their failure domain."""

    def setUp(self) -> None:
        """Let the nodes meet."""
        self.cluster = SimulatedCluster.of(_LARGE)
        self.cluster.run(_MEET_SECONDS)
        self.nodes = self.cluster.nodes

    def test_all_count_the_same_nodes(self) -> None:
        """The retry budget is divided by them."""
        self._expect_nodes(_LARGE)

    def test_counts_of_all_are_known_everywhere(self) -> None:
        """No request is counted twice, and none left out."""
        for node in self.cluster.alive:
            node.in_flight['one'] = 1
        self.cluster.run(1)
        self.assertEqual(
            {
                node.mesh.in_flight_elsewhere('one')
                for node in self.cluster.alive
            },
            {_LARGE - 1},
        )

    def test_demand_of_all_is_known_everywhere(self) -> None:
        """Each placer plans for the work of all nodes."""
        for node in self.cluster.alive:
            node.mesh.local.demand = {'large': 0.5}
        self.cluster.run(1)
        for node in self.cluster.alive:
            demand = node.mesh.demand()['large']
            self.assertAlmostEqual(demand, _LARGE / 2)

    def test_the_first_reader_of_all_goes_on(self) -> None:
        """Others read no more, wherever it is."""
        for name in ('node-005', 'node-010'):
            self._announce(name)
        self.cluster.run(1)
        told = {
            name: node.mesh.announced_version('list')
            for name, node in self.nodes.items()
        }
        self.assertIsNone(told.pop('node-005'))
        self.assertEqual(set(told.values()), {7})

    def test_a_reader_that_dies_is_missed(self) -> None:
        """A leaving instance may get requests for two seconds only."""
        self._announce('node-000')
        self.cluster.run(1)
        self.cluster.dead.add('node-000')
        self.cluster.run(1.5)
        told = {
            node.mesh.announced_version('list') for node in self.cluster.alive
        }
        self.assertEqual(told, {None})

    def test_the_placer_is_known_beside_it_and_elsewhere(self) -> None:
        """Evidence goes to it, and others do not ask for its duty."""
        placer = self.nodes['node-020'].mesh
        placer.local.placer_domain = 'domain-2'
        self.cluster.run(1)
        other_nodes = [
            node for node in self.cluster.alive if node.mesh is not placer
        ]
        self.assertTrue(
            all(node.mesh.has_other_placer('domain-2') for node in other_nodes),
        )
        self.cluster.sent.clear()
        other_nodes[0].mesh.send_to_placer(
            'domain-2', Stopped('', 'one', 1, '')
        )
        self.assertEqual(sum(self.cluster.sent.values()), 1)

    def test_a_placer_tells_nobody_what_it_judges_itself(self) -> None:
        """Its own evidence concerns no other node."""
        placer = self.nodes['node-020'].mesh
        placer.local.placer_domain = 'domain-2'
        self.cluster.run(1)
        self.cluster.sent.clear()
        placer.send_to_placer('domain-2', Stopped('', 'one', 1, ''))
        self.assertEqual(sum(self.cluster.sent.values()), 0)

    def test_a_dead_placer_is_missed_as_soon_as_before(self) -> None:
        """Its failure domain hears it directly."""
        placer = self.nodes['node-020'].mesh
        placer.local.placer_domain = 'domain-2'
        self.cluster.run(1)
        self.cluster.dead.add('node-020')
        self.cluster.run(1)
        beside = [
            node for node in self.cluster.alive if node.domain == 'domain-2'
        ]
        self.assertFalse(
            any(node.mesh.has_other_placer('domain-2') for node in beside),
        )

    def test_a_stopped_replica_is_told_by_relays(self) -> None:
        """All hear at once, and nobody speaks to nodes far away but relays.

        Told straight to each, 194 connections stayed open with a heartbeat
        each, and 72 KB/s a node went between failure domains.
        """
        self.cluster.sent.clear()
        self.cluster.stop_replica('node-020', 'one')
        self.assertTrue(
            all('one' in node.stopped for node in self.cluster.alive),
        )
        teller = self.nodes['node-020'].mesh
        far = len(
            teller.state.roster.remote_relay_addresses(include_silent=True)
        )
        beside = _LARGE // 3 - 1
        self.assertLessEqual(self.cluster.sent['node-020'], beside + far)
        self.assertLess(far, _LARGE // 3)

    def test_who_is_behind_asks_once_a_second(self) -> None:
        """Asked with each beat, a large one was sent again and again."""
        behind = self.nodes['node-004']
        self.nodes['node-005'].configs.append(RouteConfig(3, (), {}))
        asks: list[float] = []
        transport = behind.message_sender._transport
        send = transport.send
        transport.send = lambda address, message: (  # type: ignore[method-assign]
            asks.append(self.cluster.now)
            if isinstance(message, ConfigAsk)
            else send(address, message)
        )
        self.cluster.run(4)
        self.assertGreaterEqual(len(asks), 2)
        self.assertLessEqual(len(asks), 4)

    def test_turns(self) -> None:
        """One goes on at once, one of each other domain next, then all."""
        turns = [
            node.mesh.state.roster.takeover_rank()
            for node in self.nodes.values()
        ]
        counted = [turns.count(turn) for turn in range(3)]
        self.assertEqual(counted, [1, 2, _LARGE - 3])

    def test_an_isolated_node_knows(self) -> None:
        """Who hears nobody beside it may be the one that is cut off."""
        self.cluster.groups['node-020'] = 1
        self.cluster.run(3)
        for name, node in self.nodes.items():
            isolated = node.mesh.state.roster.is_isolated()
            self.assertEqual(isolated, name == 'node-020')

    def test_a_dead_relay_leaves_no_gap(self) -> None:
        """The next speaks before what the first one said is forgotten."""
        self.cluster.dead.add('node-000')
        for _turn in range(10):
            self.cluster.run(0.25)
            for node in self.cluster.alive:
                self.assertGreaterEqual(node.mesh.live_node_count(), _LARGE - 1)
        self.cluster.run(1)
        self._expect_nodes(_LARGE - 1)

    def test_two_dead_relays(self) -> None:
        """The third takes over."""
        self.cluster.dead.update(('node-000', 'node-003'))
        self.cluster.run(_FIND_SECONDS)
        self._expect_nodes(_LARGE - 2)

    def test_a_failure_domain_is_cut_off_and_returns(self) -> None:
        """Both sides go on for themselves, and find each other again."""
        for name, node in self.nodes.items():
            self.cluster.groups[name] = int(node.domain == 'domain-1')
        self.cluster.run(_FIND_SECONDS)
        for node in self.cluster.alive:
            share = 1 if node.domain == 'domain-1' else 2
            self.assertEqual(node.mesh.live_node_count(), _LARGE * share / 3)
        self.cluster.groups.clear()
        self.cluster.run(_FIND_SECONDS)
        self._expect_nodes(_LARGE)

    def test_a_restarted_relay_is_heard_again(self) -> None:
        """It knows nothing and relays at once."""
        self.cluster.dead.add('node-000')
        self.cluster.run(_FIND_SECONDS)
        self.cluster.start('node-000')
        self.cluster.run(_FIND_SECONDS)
        self._expect_nodes(_LARGE)

    def test_a_node_that_starts_counts_the_listed(self) -> None:
        """Its part of the retry budget is not larger than others'."""
        self.cluster.dead.add('node-010')
        self.cluster.start('node-010')
        started = self.nodes['node-010'].mesh
        self.assertEqual(started.live_node_count(), _LARGE)

    def test_a_node_that_stops_is_not_counted(self) -> None:
        """Also a relay hands over at once."""
        relay = self.nodes['node-000'].mesh
        relay.local.stopping = True
        relay.broadcast(relay.message_sender.build_beat())
        self.cluster.deliver()
        self.cluster.run(1.5)
        other_nodes = [node.mesh for node in self.cluster.alive][1:]
        self.assertEqual(
            {mesh.live_node_count() for mesh in other_nodes}, {_LARGE - 1}
        )

    def test_who_one_relay_does_not_hear_is_heard(self) -> None:
        """A single broken path leaves nobody out."""
        self.cluster.lost_paths = {('node-027', 'node-000')}
        self.cluster.run(_FIND_SECONDS)
        for node in self.cluster.alive:
            if node.domain == 'domain-0':
                self.assertGreaterEqual(node.mesh.live_node_count(), _LARGE)

    def _announce(self, name: str) -> None:
        reader = self.nodes[name].mesh
        reader.local.source_versions = {'list': 7}

    def _expect_nodes(self, count: int) -> None:
        counted = {
            name: node.mesh.live_node_count()
            for name, node in self.nodes.items()
            if name not in self.cluster.dead
        }
        self.assertEqual(set(counted.values()), {count}, counted)


class BrokenTest(unittest.TestCase):
    """An instance that broke a connection is passed over everywhere."""

    def test_all_nodes_hear_of_it(self) -> None:
        """In a small deployment and by relays, within a beat."""
        for size in (_SMALL, _LARGE):
            with self.subTest(nodes=size):
                cluster = SimulatedCluster.of(size)
                cluster.run(_MEET_SECONDS)
                teller = cluster.nodes['node-001']
                teller.mesh.publish(Broken('node-001', 'i1', 7))
                cluster.run(0.25)
                other_nodes = (
                    one for one in cluster.alive if one is not teller
                )
                self.assertTrue(
                    all(one.broken == {'i1'} for one in other_nodes)
                )


class StoppedTest(unittest.TestCase):
    """That a replica has stopped reaches everybody."""

    def test_by_relays_where_no_direct_message_arrives(self) -> None:
        """An open connection may carry nothing any more."""
        cluster = SimulatedCluster.of(_LARGE)
        cluster.run(_MEET_SECONDS)
        cluster.loses_stopped = True
        cluster.stop_replica('node-004', 'one')
        cluster.run(1.25)
        self._expect_known(cluster, 'one')

    def test_also_when_the_relays_die_with_it(self) -> None:
        """The next relays hear it from the one that said it."""
        cluster = SimulatedCluster.of(_LARGE)
        cluster.run(_MEET_SECONDS)
        cluster.loses_stopped = True
        cluster.stop_replica('node-007', 'one')
        cluster.dead.update(('node-000', 'node-001', 'node-002'))
        cluster.run(3)
        self._expect_known(cluster, 'one')

    def test_it_is_not_repeated_for_ever(self) -> None:
        """Each node tells it for three seconds from when it heard."""
        cluster = SimulatedCluster.of(_LARGE)
        cluster.run(_MEET_SECONDS)
        cluster.stop_replica('node-004', 'one')
        cluster.run(6)
        repeated = [
            node.mesh.message_sender.build_beat().recent_stops
            for node in cluster.alive
        ]
        self.assertFalse(any(repeated))

    def test_notices_are_forgotten(self) -> None:
        """Memory does not grow with every replica that ever stopped."""
        now = [float(0)]
        notices = StopNotices(lambda: now[0])
        message = Stopped('', 'one', 1, '')
        self.assertTrue(notices.add(message))
        self.assertFalse(notices.add(message))
        now[0] = 60
        self.assertEqual(notices.to_repeat(), [])
        self.assertTrue(notices.add(message))

    def _expect_known(self, cluster: SimulatedCluster, name: str) -> None:
        without = [
            node.mesh.local.node_id
            for node in cluster.alive
            if name not in node.stopped
        ]
        self.assertEqual(without, [])


class CasesTest(unittest.TestCase):
    """That targets ended under a request reaches everybody at once."""

    def test_three_nodes_saw_an_end_each(self) -> None:
        """All know the three, of whatever failure domain, before a beat."""
        for count in (8, 60):
            with self.subTest(nodes=count):
                cluster = SimulatedCluster.of(count)
                cluster.run(3)
                for number in range(3):
                    _tell_end(cluster, f'node-{number:03}', number)
                cluster.deliver()
                held = [node.book.verdict('a') for node in cluster.alive]
                self.assertEqual(set(held), {Verdict.HELD})

    def test_it_does_not_go_round(self) -> None:
        """Told twice, it is passed on once."""
        cluster = SimulatedCluster.of(60)
        cluster.run(3)
        before = cluster.sent.total()
        for _time in range(2):
            _tell_end(cluster, 'node-000', 0)
            cluster.deliver()
        self.assertLess(cluster.sent.total() - before, 2 * 60)


def _tell_end(cluster: SimulatedCluster, name: str, number: int) -> None:
    news = CaseUpdate('a', (Termination(Incarnation(f'i{number}', 1), True),))
    node = cluster.nodes[name]
    node.book.merge(news, is_own=True)
    node.mesh.publish(RequestCases(name, [news]))


class NewsTest(unittest.TestCase):
    """What one node has read reaches all, once between failure domains."""

    def test_each_takes_it_over(self) -> None:
        """One copy goes to each relay elsewhere, which passes it on."""
        cluster = SimulatedCluster.of(_LARGE)
        cluster.run(_MEET_SECONDS)
        cluster.sent.clear()
        reader = cluster.nodes['node-004']
        reader.mesh.publish_news(
            ListNews('node-004', SourceUpdate(1, 2, {'one': None}))
        )
        cluster.deliver()
        heard = [node.versions for node in cluster.alive if node is not reader]
        self.assertEqual({tuple(one) for one in heard}, {(2,), (2, 2)})
        self.assertEqual(cluster.sent['node-004'], _LARGE / 3 - 1 + 4)
        self.assertEqual(
            set(cluster.sent), {'node-004', 'node-000', 'node-002'}
        )

    def test_relays_that_speak_at_once_do_not_echo(self) -> None:
        """Right after the start every node may take itself for one."""
        cluster = SimulatedCluster.of(_LARGE)
        reader = cluster.nodes['node-004']
        for version in (2, 3):
            news: SourceUpdate[ListedInstance] = SourceUpdate(
                version - 1, version, {'one': None}
            )
            reader.mesh.publish_news(ListNews('node-004', news))
            cluster.deliver()
        self.assertLessEqual(sum(cluster.sent.values()), 2 * _LARGE * _LARGE)
        self.assertTrue(
            all(
                3 in one.versions for one in cluster.alive if one is not reader
            ),
        )


class ConfigTest(unittest.TestCase):
    """A configuration that one node has read is soon in force on all."""

    def test_a_node_elsewhere_has_it(self) -> None:
        """Whom the store turns away has two seconds to take it up."""
        cluster = SimulatedCluster.of(_LARGE)
        cluster.run(_MEET_SECONDS)
        cluster.nodes['node-020'].configs.append(RouteConfig(7, (), {}))
        cluster.run(1.5)
        without = [node for node in cluster.alive if not node.configs]
        self.assertEqual(without, [])


class MeshCostTest(unittest.TestCase):
    """A node's messages do not grow with the number of nodes."""

    def test_messages_of_ordinary_nodes(self) -> None:
        """Each speaks to two relays only, whatever the size."""
        for count in (_LARGE, _LARGER):
            cluster = self._settled(count)
            most = sorted(cluster.sent.values())[: count - 3]
            self.assertLessEqual(max(most), 4 * 2)

    def test_messages_of_all_grow_with_the_nodes(self) -> None:
        """Twice the nodes send about twice the messages, not four times."""
        less, more = (
            sum(self._settled(count).sent.values())
            for count in (_LARGE, _LARGER)
        )
        self.assertLess(more / less, 2.2)

    def test_bytes_between_failure_domains(self) -> None:
        """They do not grow with the nodes, but with the replicas."""
        less, more = (
            self._settled(count).far_bytes for count in (_LARGE, _LARGER)
        )
        self.assertLess(more / less, 1.5)

    def _settled(self, count: int) -> SimulatedCluster:
        cluster = SimulatedCluster.of(count)
        for node in cluster.alive:
            node.in_flight.update({f'i-{number}': 1 for number in range(10)})
        cluster.run(3)
        cluster.sent.clear()
        cluster.far_bytes = 0
        cluster.run(1)
        return cluster


class AnyFaultsTest(unittest.TestCase):
    """Whatever fails, those alive find each other again afterwards."""

    @settings(max_examples=15, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(('kill', 'start', 'cut', 'heal', 'stop')),
                st.integers(0, _LARGE - 1),
                st.sampled_from((0.25, 0.75, 2.0)),
            ),
            max_size=8,
        ),
    )
    def test_they_meet_again(
        self,
        faults: list[tuple[str, int, float]],
    ) -> None:
        """All count the same, and all know what has stopped."""
        cluster = SimulatedCluster.of(_LARGE)
        cluster.run(1)
        for fault, number, seconds in faults:
            _play(cluster, fault, f'node-{number:03}')
            cluster.run(seconds)
        cluster.groups.clear()
        cluster.start('node-000')
        cluster.run(_FIND_SECONDS)
        cluster.stop_replica('node-000', 'last')
        cluster.run(1)
        count = len(cluster.alive)
        self.assertEqual(
            {one.mesh.live_node_count() for one in cluster.alive}, {count}
        )
        self.assertTrue(all('last' in one.stopped for one in cluster.alive))


def _play(cluster: SimulatedCluster, fault: str, name: str) -> None:
    match fault:
        case 'kill':
            cluster.dead.add(name)
        case 'start':
            cluster.start(name)
        case 'heal':
            cluster.groups.clear()
        case 'cut':
            cluster.groups[name] = 1
        case _ if name not in cluster.dead:
            cluster.stop_replica(name, 'other')
