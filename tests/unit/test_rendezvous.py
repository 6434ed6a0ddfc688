"""Which nodes send to a target that few may send to."""

import unittest

from cranecart.mesh import sharing_node_count
from tests.lib.simulated_cluster import SimulatedCluster

_TARGETS = tuple(f'i{number} 1' for number in range(40))
_DOMAIN = 'domain-1'


def _senders(cluster: SimulatedCluster, target: str, most: int) -> list[int]:
    shares = [
        sharing_node_count(node.state, _DOMAIN, target, most)
        for node in cluster.alive
    ]
    return [share for share in shares if share]


class RankingTest(unittest.TestCase):
    """Nodes of a mesh that agree without a message."""

    def test_so_many_send(self) -> None:
        """Each knows with how many it shares; others are left out."""
        for nodes in (4, 9, 78):
            cluster = SimulatedCluster.of(nodes)
            cluster.run(2)
            near = sum(node.domain == _DOMAIN for node in cluster.alive)
            for target in _TARGETS:
                for most in (1, 3):
                    count = min(most, near)
                    self.assertEqual(
                        _senders(cluster, target, most),
                        [count for _sender in range(count)],
                    )

    def test_targets_are_spread(self) -> None:
        """No node near them has none of forty."""
        cluster = SimulatedCluster.of(9)
        cluster.run(1)
        for node in cluster.alive:
            shares = [
                sharing_node_count(node.state, _DOMAIN, target, 1)
                for target in _TARGETS
            ]
            self.assertEqual(any(shares), node.domain == _DOMAIN)

    def test_one_takes_the_place_of_a_dead_one(self) -> None:
        """Targets of the others stay where they are."""
        cluster = SimulatedCluster.of(9)
        cluster.run(1)
        before = {target: self._sender(cluster, target) for target in _TARGETS}
        cluster.dead.add('node-001')
        cluster.run(3)
        for target in _TARGETS:
            after = self._sender(cluster, target)
            self.assertNotEqual(after, 'node-001')
            if before[target] != 'node-001':
                self.assertEqual(after, before[target])

    def test_others_send_where_no_node_is_near(self) -> None:
        """One node of one other failure domain does."""
        cluster = SimulatedCluster.of(9)
        cluster.run(1)
        cluster.dead.update(
            node.state.local.node_id
            for node in cluster.alive
            if node.domain == _DOMAIN
        )
        cluster.run(3)
        for target in _TARGETS:
            self.assertEqual(_senders(cluster, target, 1), [1])

    def test_who_stops_does_not_send(self) -> None:
        """What it still serves goes elsewhere."""
        cluster = SimulatedCluster.of(4)
        cluster.run(1)
        for node in cluster.alive:
            node.state.local.stopping = node.domain == _DOMAIN
        self.assertEqual(_senders(cluster, _TARGETS[0], 1), [])

    def _sender(self, cluster: SimulatedCluster, target: str) -> str:
        return next(
            node.state.local.node_id
            for node in cluster.alive
            if sharing_node_count(node.state, _DOMAIN, target, 1)
        )
