"""Test through which nodes requests are sent, and how many a node takes."""

import contextlib
import random
import unittest
from collections import Counter

import attrs

from cranecart.http import Address
from cranecart.peer_calls import Peer, PeerAdmission, PeerChoice

_SERVICE = 'drafts'
_MAX_ASKED = 4
_SEED = 1


def _peer(number: int, domains: int) -> Peer:
    return Peer(
        f'n{number}',
        Address('127.0.0.1', 1000 + number),
        f'd{number % domains}',
    )


@attrs.define
class _Deployment:
    """Nodes of which some reach targets; the first one passes requests on."""

    size: int
    domains: int
    able: frozenset[str]
    now: float = 0
    choice: PeerChoice = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        peers = [_peer(number, self.domains) for number in range(1, self.size)]
        self.choice = PeerChoice(
            'd0', lambda: peers, random.Random(_SEED), lambda: self.now
        )

    def pass_on(self) -> tuple[str, int]:
        """Return the peer that took a request, and how many were asked."""
        asked: list[str] = []
        while len(asked) < _MAX_ASKED:
            peer = self.choice.choose(_SERVICE, asked)
            if peer is None:
                break
            asked.append(peer.name)
            if peer.name in self.able:
                return peer.name, len(asked)
            self.choice.record_unable(peer, 1, _SERVICE)
        return '', len(asked)


class PeerChoiceTest(unittest.TestCase):
    """Loads of one node among others that reach targets or not."""

    def test_near_peers_come_first(self) -> None:
        """With one node of nine cut, its own failure domain helps, evenly."""
        able = frozenset(f'n{number}' for number in range(1, 9))
        deployment = _Deployment(9, 3, able)
        with contextlib.ExitStack() as held:
            taken = Counter(_hold(deployment, held) for _ in range(100))
        self.assertEqual(taken, {'n3': 50, 'n6': 50})

    def test_one_node_of_eight_left(self) -> None:
        """Once the others have refused, each request finds the one at once."""
        deployment = _Deployment(8, 3, frozenset(('n7',)))
        results = [deployment.pass_on() for _ in range(100)]
        self.assertEqual(set(results[3:]), {('n7', 1)})

    def test_whole_failure_domain_cut(self) -> None:
        """After two refusals near by, others are asked first."""
        able = frozenset(
            f'n{number}' for number in range(300) if number % 3 != 0
        )
        deployment = _Deployment(300, 3, able)
        results = [deployment.pass_on() for _ in range(10)]
        self.assertEqual(results[0][1], 3)
        self.assertEqual({asked for _taken, asked in results[1:]}, {1})

    def test_nearly_all_nodes_cut(self) -> None:
        """With 299 nodes of 300 cut, few are asked for each request."""
        deployment = _Deployment(300, 3, frozenset(('n150',)))
        asked = [deployment.pass_on()[1] for _ in range(70)]
        self.assertLessEqual(max(asked), _MAX_ASKED)
        self.assertEqual(deployment.pass_on(), ('n150', 1))

    def test_peers_are_asked_again(self) -> None:
        """A peer that refused is asked again when its time has passed."""
        deployment = _Deployment(2, 1, frozenset())
        self.assertEqual(deployment.pass_on(), ('', 1))
        self.assertEqual(deployment.pass_on(), ('', 0))
        deployment.now += 1
        self.assertEqual(deployment.pass_on(), ('', 1))

    def test_services_are_told_apart(self) -> None:
        """A peer that reaches no target of one service may reach others."""
        deployment = _Deployment(2, 1, frozenset())
        deployment.pass_on()
        self.assertIsNotNone(deployment.choice.choose('crew'))

    def test_retry_when_the_first_peer_is_asked_again(self) -> None:
        """A client is told when the first of the peers may be able again."""
        deployment = _Deployment(3, 1, frozenset())
        deployment.pass_on()
        deployment.now += 0.75
        self.assertEqual(deployment.choice.seconds_until_able(5), 0.25)


def _hold(deployment: _Deployment, held: contextlib.ExitStack) -> str:
    """Pass a request on that goes on until the stack is left."""
    peer = deployment.choice.choose(_SERVICE)
    assert peer is not None
    held.enter_context(deployment.choice.track_in_flight(peer))
    return peer.name


class PeerAdmissionTest(unittest.TestCase):
    """The load of seven nodes that comes to one."""

    def test_late_event_loop_refuses_requests_of_peers(self) -> None:
        """A node whose own clients would wait takes no more."""
        admission = PeerAdmission()
        for _ in range(100):
            admission.record_delay(0.03)
        self.assertFalse(admission.admits())
        for _ in range(100):
            admission.record_delay(0)
        self.assertTrue(admission.admits())

    def test_single_pause_is_no_overload(self) -> None:
        """One late timer, as after garbage collection, refuses nobody."""
        admission = PeerAdmission()
        admission.record_delay(0.1)
        self.assertTrue(admission.admits())

    def test_memory_is_bounded(self) -> None:
        """However idle the processor, the requests in memory are bounded."""
        admission = PeerAdmission()
        while admission.admits():
            admission.in_flight += 1
        self.assertLess(admission.in_flight, 100)


if __name__ == '__main__':
    unittest.main()
