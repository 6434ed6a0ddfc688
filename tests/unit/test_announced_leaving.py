"""A target that says in its answers that it leaves gets nothing new.

Four nodes sent two targets 187 requests later than two seconds after these had said
so: what a target says of itself was read by nothing, and only the platform's list
told of leaving targets. The word of a life counts now as its entry does, at once and
at all nodes: nothing new is sent, and its replica is ended and replaced.
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

_LEAVE_AT = 0.5
# The rule: nothing later than this after a node had such an answer.
_LEAVING_SECONDS = 2.0
_PLAY_SECONDS = 4.0
_A_SECOND = 120


def _two_leave(name: str, now: float) -> Announcement:
    is_leaving = name in {'i0', 'i1'} and now >= _LEAVE_AT
    return Announcement('server-leaving: 1\r\n' if is_leaving else '')


class SaidToLeaveTest(unittest.TestCase):
    """Four nodes before ten targets, 120 requests a second."""

    answers: Sequence[ClientAnswer]

    def test_two_of_ten(self) -> None:
        """The others serve all."""
        deployment = ThrottlingDeployment(4, 10, _two_leave)
        curio.run(deployment.run, self._ask)
        self.assertEqual(
            deployment.arrivals_after_announcement(_LEAVING_SECONDS), 0
        )
        self.assertEqual(deployment.not_served(self.answers), [])

    async def _ask(self, deployment: ThrottlingDeployment) -> None:
        self.answers = await deployment.ask(_PLAY_SECONDS, _A_SECOND)


class FleetTest(unittest.TestCase):
    """What a node knows of an instance that has said that it leaves."""

    def setUp(self) -> None:
        """List a replica of one member."""
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

    def test_nothing_new_goes_there(self) -> None:
        """Nor when its entry says again that it is ready."""
        self.assertEqual(len(self.fleet.heads(ENGINES, MODEL)), 1)
        self.assertTrue(
            mark_leaving(self.fleet, self.listed.incarnation, 'an answer')
        )
        self.assertEqual(len(self.fleet.heads(ENGINES, MODEL)), 0)
        self.fleet.apply_instances({'i0': self.listed}, False)
        self.assertEqual(len(self.fleet.heads(ENGINES, MODEL)), 0)
        self.assertTrue(self.fleet.instances['i0'].leaving)

    def test_it_is_news_once(self) -> None:
        """All its answers say so, and other nodes do."""
        self.assertTrue(
            mark_leaving(self.fleet, self.listed.incarnation, 'an answer')
        )
        self.assertFalse(
            mark_leaving(self.fleet, self.listed.incarnation, 'n2')
        )

    def test_its_next_life_serves(self) -> None:
        """What comes back under the same id has not said so."""
        mark_leaving(self.fleet, self.listed.incarnation, 'an answer')
        anew = attrs.evolve(self.listed, born=8)
        self.fleet.apply_instances({'i0': anew}, False)
        self.assertFalse(self.fleet.instances['i0'].leaving)

    def test_known_before_it_is_listed(self) -> None:
        """The news may come first."""
        mark_leaving(self.fleet, Incarnation('i1', 3), 'n2')
        later = attrs.evolve(self.listed, id='i1', born=3)
        self.fleet.apply_instances({'i1': later}, False)
        self.assertTrue(self.fleet.instances['i1'].leaving)


class TellingTest(unittest.TestCase):
    """Nodes that tell each other."""

    def test_all_hear(self) -> None:
        """In a small deployment and by relays."""
        for nodes in (4, 78):
            cluster = SimulatedCluster.of(nodes)
            cluster.run(2)
            teller = cluster.nodes['node-000']
            teller.mesh.publish(Leaving('node-000', 'i0', 7))
            cluster.deliver()
            heard = [node for node in cluster.alive if 'i0' in node.leaving]
            self.assertEqual(len(heard), nodes - 1)

    def test_on_the_wire(self) -> None:
        """It comes as it went."""
        message = Leaving('n1', 'i0', 7)
        self.assertEqual(
            decode_mesh_message(encode_mesh_message(message)),
            message,
        )
