"""A target that announces in its responses that it is leaving gets no requests.

Four nodes sent two targets 187 requests more than two seconds after they had
announced this, because only the platform's list was evaluated. An announcement
has to count like the list entry, at once and at all nodes: no more requests are
sent, and the replica is shut down and replaced.
"""

import unittest
from collections.abc import Sequence

import attrs
import curio

from cranecart.fleet import Fleet, ReplicaRecord, mark_leaving
from cranecart.http import Address
from cranecart.mesh import Leaving, decode_mesh_message, encode_mesh_message
from cranecart.ports import Incarnation
from tests.lib.fake_targets import ENGINES, MODEL, ClientAnswer, instance
from tests.lib.simulated_cluster import SimulatedCluster
from tests.lib.throttling_targets import Announcement, ThrottlingDeployment

_LEAVING_AT_SECONDS = 0.5
# No requests are allowed later than this after a node got the announcement.
_LEAVING_SECONDS = 2.0
_RUN_SECONDS = 4.0
_REQUESTS_PER_SECOND = 120


def _two_leaving(name: str, now: float) -> Announcement:
    is_leaving = name in {'i0', 'i1'} and now >= _LEAVING_AT_SECONDS
    return Announcement('server-leaving: 1\r\n' if is_leaving else '')


class AnnouncedLeavingTest(unittest.TestCase):
    """Four nodes with ten targets at 120 requests per second."""

    answers: Sequence[ClientAnswer]

    def test_two_of_ten(self) -> None:
        """The other targets serve all requests."""
        deployment = ThrottlingDeployment(4, 10, _two_leaving)
        curio.run(deployment.run, self._ask)
        self.assertEqual(
            deployment.arrivals_after_announcement(_LEAVING_SECONDS), 0
        )
        self.assertEqual(deployment.not_served(self.answers), [])

    async def _ask(self, deployment: ThrottlingDeployment) -> None:
        self.answers = await deployment.ask(_RUN_SECONDS, _REQUESTS_PER_SECOND)


class FleetMarkingTest(unittest.TestCase):
    """The state of a node after an instance announced that it is leaving."""

    def setUp(self) -> None:
        """List a replica with one member."""
        self.listed = attrs.evolve(
            instance('i0', Address('127.0.0.1', 1), ENGINES),
            born=7,
        )
        self.fleet = Fleet()
        self.fleet.apply_instances({'i0': self.listed}, True)
        record = ReplicaRecord(
            'i0', 1, ENGINES, MODEL, 'east', 'east-0', ('i0',)
        )
        self.fleet.apply_records({record.key: record}, True)

    def test_no_new_requests(self) -> None:
        """No requests are sent, even if the entry shows the instance as ready."""
        self.assertEqual(len(self.fleet.heads(ENGINES, MODEL)), 1)
        self.assertTrue(
            mark_leaving(self.fleet, self.listed.incarnation, 'an answer')
        )
        self.assertEqual(len(self.fleet.heads(ENGINES, MODEL)), 0)
        self.fleet.apply_instances({'i0': self.listed}, False)
        self.assertEqual(len(self.fleet.heads(ENGINES, MODEL)), 0)
        self.assertTrue(self.fleet.instances['i0'].leaving)

    def test_marked_once(self) -> None:
        """Repeated announcements are not reported as changes."""
        self.assertTrue(
            mark_leaving(self.fleet, self.listed.incarnation, 'an answer')
        )
        self.assertFalse(
            mark_leaving(self.fleet, self.listed.incarnation, 'n2')
        )

    def test_next_incarnation_serves(self) -> None:
        """An instance that restarts under the same id is not leaving."""
        mark_leaving(self.fleet, self.listed.incarnation, 'an answer')
        restarted = attrs.evolve(self.listed, born=8)
        self.fleet.apply_instances({'i0': restarted}, False)
        self.assertFalse(self.fleet.instances['i0'].leaving)

    def test_announced_before_it_is_listed(self) -> None:
        """The announcement may arrive before the list entry."""
        mark_leaving(self.fleet, Incarnation('i1', 3), 'n2')
        later = attrs.evolve(self.listed, id='i1', born=3)
        self.fleet.apply_instances({'i1': later}, False)
        self.assertTrue(self.fleet.instances['i1'].leaving)


class PropagationTest(unittest.TestCase):
    """Nodes that inform each other."""

    def test_all_nodes_are_informed(self) -> None:
        """All nodes are informed in a small deployment and by relays."""
        for nodes in (4, 78):
            cluster = SimulatedCluster.of(nodes)
            cluster.run(2)
            sender = cluster.nodes['node-000']
            sender.mesh.publish(Leaving('node-000', 'i0', 7))
            cluster.deliver()
            informed = [node for node in cluster.alive if 'i0' in node.leaving]
            self.assertEqual(len(informed), nodes - 1)

    def test_message_survives_encoding(self) -> None:
        """A message is equal after encoding and decoding."""
        message = Leaving('n1', 'i0', 7)
        self.assertEqual(
            decode_mesh_message(encode_mesh_message(message)),
            message,
        )
