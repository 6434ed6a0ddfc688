"""Choice of the nodes that send to a target with a rate limit."""

import unittest

from cranecart.mesh import dealt_requests, sharing_node_count
from tests.lib.simulated_cluster import SimulatedCluster

_TARGETS = tuple(f'i{number} 1' for number in range(40))
_DOMAIN = 'domain-1'
# What the platform allows a cold target at 14 requests a second, in two parts.
_TOTAL = 26
_OWN_PART = 18
_REST = 8


def _sharing_counts(
    cluster: SimulatedCluster, target: str, limit: int
) -> list[int]:
    node_counts = [
        sharing_node_count(node.state, _DOMAIN, target, limit)
        for node in cluster.alive
    ]
    return [node_count for node_count in node_counts if node_count]


class SharingNodesTest(unittest.TestCase):
    """All nodes make the same choice without coordination."""

    def test_only_chosen_nodes_send(self) -> None:
        """Chosen nodes get the number of chosen ones; others do not send."""
        for cluster_size in (4, 9, 78):
            cluster = SimulatedCluster.of(cluster_size)
            cluster.run(2)
            domain_node_count = sum(
                node.domain == _DOMAIN for node in cluster.alive
            )
            for target in _TARGETS:
                for limit in (1, 3):
                    count = min(limit, domain_node_count)
                    self.assertEqual(
                        _sharing_counts(cluster, target, limit),
                        [count for _ in range(count)],
                    )

    def test_targets_are_spread_over_nodes(self) -> None:
        """Of forty targets each node of their failure domain gets some."""
        cluster = SimulatedCluster.of(9)
        cluster.run(1)
        for node in cluster.alive:
            node_counts = [
                sharing_node_count(node.state, _DOMAIN, target, 1)
                for target in _TARGETS
            ]
            self.assertEqual(any(node_counts), node.domain == _DOMAIN)

    def test_only_targets_of_a_dead_node_move(self) -> None:
        """Only the targets of a dead node move to another node."""
        cluster = SimulatedCluster.of(9)
        cluster.run(1)
        before = {
            target: self._find_sender(cluster, target) for target in _TARGETS
        }
        cluster.dead.add('node-001')
        cluster.run(3)
        for target in _TARGETS:
            after = self._find_sender(cluster, target)
            self.assertNotEqual(after, 'node-001')
            if before[target] != 'node-001':
                self.assertEqual(after, before[target])

    def test_other_domain_takes_over_without_live_nodes(self) -> None:
        """One node of another failure domain takes over if all nodes died."""
        cluster = SimulatedCluster.of(9)
        cluster.run(1)
        cluster.dead.update(
            node.state.local.node_id
            for node in cluster.alive
            if node.domain == _DOMAIN
        )
        cluster.run(3)
        for target in _TARGETS:
            self.assertEqual(_sharing_counts(cluster, target, 1), [1])

    def test_stopping_node_does_not_send(self) -> None:
        """A stopping node is not chosen."""
        cluster = SimulatedCluster.of(4)
        cluster.run(1)
        for node in cluster.alive:
            node.state.local.stopping = node.domain == _DOMAIN
        self.assertEqual(_sharing_counts(cluster, _TARGETS[0], 1), [])

    def _find_sender(self, cluster: SimulatedCluster, target: str) -> str:
        return next(
            node.state.local.node_id
            for node in cluster.alive
            if sharing_node_count(node.state, _DOMAIN, target, 1)
        )


class DealtRequestsTest(unittest.TestCase):
    """The requests of a window at a cold target, dealt to known nodes."""

    def test_the_own_domain_gets_its_part(self) -> None:
        """All of it, evenly, and others get nothing, whatever the size."""
        for cluster_size in (4, 9, 78):
            cluster = SimulatedCluster.of(cluster_size)
            cluster.run(2)
            for target in _TARGETS[:5]:
                dealt = _dealt(cluster, target)
                self.assertEqual(sum(dealt[_DOMAIN]), _OWN_PART)
                self.assertLessEqual(
                    max(dealt[_DOMAIN]) - min(dealt[_DOMAIN]), 1
                )
                self.assertEqual(sum(map(sum, dealt.values())), _OWN_PART)

    def test_one_other_domain_gets_the_rest_if_most_are_down(self) -> None:
        """Dead nodes keep their part, as they may only be unheard."""
        for cluster_size in (9, 78):
            cluster = SimulatedCluster.of(cluster_size)
            cluster.run(2)
            own = [
                node.state.local.node_id
                for node in cluster.alive
                if node.domain == _DOMAIN
            ]
            cluster.dead.update(own[len(own) // 3 :])
            cluster.run(4)
            for target in _TARGETS[:5]:
                dealt = _dealt(cluster, target)
                sums = {domain: sum(dealt[domain]) for domain in dealt}
                self.assertLessEqual(sums.pop(_DOMAIN), _OWN_PART)
                self.assertEqual(sorted(sums.values()), [0, _REST])

    def test_new_and_stopping_nodes_are_dealt_nothing(self) -> None:
        """Others may not know of the one, and take over from the other."""
        cluster = SimulatedCluster.of(4)
        for node in cluster.alive:
            node.state.local.is_established = False
        self.assertFalse(any(map(sum, _dealt(cluster, 'i1 1').values())))
        for node in cluster.alive:
            node.state.local.is_established = True
            node.state.local.stopping = True
        self.assertFalse(any(map(sum, _dealt(cluster, 'i1 1').values())))


def _dealt(cluster: SimulatedCluster, target: str) -> dict[str, list[int]]:
    dealt: dict[str, list[int]] = {}
    for node in cluster.alive:
        dealt.setdefault(node.domain, []).append(
            dealt_requests(node.state, _DOMAIN, target, _TOTAL)
        )
    return dealt
