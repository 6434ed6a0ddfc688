"""Nodes find, doubt and lose each other, also without the platform."""

import unittest

from tests.lib.clusters import start_cluster
from tools.cluster_control import wait_until
from tools.local_cluster import LocalCluster

_NODES = ('node0', 'node1', 'node2', 'node3')


class MembershipTest(unittest.TestCase):
    """Four nodes of one failure domain."""

    cluster: LocalCluster

    def setUp(self) -> None:
        """Start four nodes and wait until all know all."""
        self.cluster = start_cluster(
            self,
            nodes=4,
            domains=('buda-terem',),
            engines_per_domain=4,
        )
        self._wait_for(set(_NODES))

    def test_a_killed_node_is_lost_and_comes_back(self) -> None:
        """Within seconds all others know, and again when it is back."""
        self.cluster.processes['node3'].kill()
        seconds = self._wait_for(set(_NODES[:3]), among=_NODES[:3])
        self.assertLess(seconds, 10)
        self.cluster.start_node('node3')
        self._wait_for(set(_NODES))

    def test_a_paused_node_notices(self) -> None:
        """It is given up, notices its pause when it wakes, and is back."""
        self.cluster.processes['node3'].pause()
        self._wait_for(set(_NODES[:3]), among=_NODES[:3])
        self.cluster.processes['node3'].resume()
        self._wait_for(set(_NODES))
        log = (self.cluster.folder / 'node3.log').read_text('utf-8')
        self.assertIn('own_pause_noticed', log)

    def test_a_newcomer_without_the_platform(self) -> None:
        """It finds its peers by its settings and takes what they hold."""
        control = self.cluster.control
        version = control.status('node0')
        assert version is not None
        self.cluster.processes['node3'].kill()
        control.set_platform_faults(down=True)
        self.cluster.start_node('node3')
        wait_until(self._has_config, 'the newcomer has the configuration')
        self._wait_for(set(_NODES))

    def _has_config(self) -> bool:
        status = self.cluster.control.status('node3')
        return status is not None and status.config_version == 1

    def _wait_for(
        self,
        names: set[str],
        among: tuple[str, ...] = _NODES,
    ) -> float:
        return wait_until(
            lambda: all(self._known_to(name) == names for name in among),
            f'all know {sorted(names)}',
        )

    def _known_to(self, name: str) -> set[str]:
        status = self.cluster.control.status(name)
        return set(status.nodes) if status else set()
