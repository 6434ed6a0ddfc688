"""Nodes get a large configuration from each other without a bottleneck.

All nodes that were behind requested it from the same node, and again while it
was on its way: one of 195 nodes sent 194 copies.
"""

import random
import unittest

from cranecart.models import Route, RouteConfig
from tests.lib.fake_targets import route
from tests.lib.simulated_cluster import SimulatedCluster

_SIZES = (30, 100, 195)
_CONVERGENCE_SECONDS = 1.5
# A configuration has to be in force everywhere this long after it was accepted.
_IN_FORCE_SECONDS = 4.0
# Half of a link of 10 Mbit/s; the rest carries clients.
_LINK_BYTES_PER_SECOND = 625_000
_ROUTES = 1400


def large_config(version: int) -> RouteConfig:
    """Return a configuration with many routes, no two alike."""
    return RouteConfig(
        version,
        tuple(map(_route, range(_ROUTES))),
        {},
    )


class ConfigCopiesTest(unittest.TestCase):
    """All nodes have a large configuration in time, on half of a link."""

    def test_one_node_has_it(self) -> None:
        """Nodes that are cut off from the store get it from a single one."""
        for count in _SIZES:
            with self.subTest(nodes=count):
                self._check_all_informed(count, 1)

    def test_half_of_the_nodes_have_it(self) -> None:
        """The copies are spread over the nodes that have it."""
        for count in _SIZES:
            with self.subTest(nodes=count):
                self._check_all_informed(count, count // 2)

    def test_heartbeats_pass_copies(self) -> None:
        """No node counts as silent because its link carries copies."""
        cluster = self._cluster(_SIZES[-1])
        cluster.nodes['node-020'].configs.append(large_config(7))
        for _step in range(8):
            cluster.run(0.5)
            counts = [node.mesh.live_node_count() for node in cluster.alive]
            self.assertGreater(min(counts), 0.9 * _SIZES[-1])

    def _check_all_informed(self, count: int, informed: int) -> None:
        cluster = self._cluster(count)
        config = large_config(7)
        for node in cluster.alive[:informed]:
            node.configs.append(config)
        cluster.run(_IN_FORCE_SECONDS)
        lacking = [
            node.state.local.node_id
            for node in cluster.alive
            if not node.configs or node.configs[-1] != config
        ]
        self.assertEqual(lacking, [])

    def _cluster(self, count: int) -> SimulatedCluster:
        cluster = SimulatedCluster.of(count)
        cluster.link_bytes_per_second = _LINK_BYTES_PER_SECOND
        cluster.run(_CONVERGENCE_SECONDS)
        return cluster


def _route(number: int) -> Route:
    # Drawn names, as similar ones would compress better than real ones.
    draw = random.Random(number)
    return route(
        f'{draw.getrandbits(40):x}',
        host=f'{draw.getrandbits(32):x}.example',
        prefix=f'/{draw.getrandbits(40):x}/',
        rank=number % 7,
        streaming=True,
        resumable=True,
    )
