"""Nodes discover each other and detect failures, without the platform too."""

import unittest

from tests.lib.clusters import start_cluster
from tools.cluster_control import wait_until
from tools.local_cluster import LocalCluster

_NODES = ('node0', 'node1', 'node2', 'node3')


class MembershipTest(unittest.TestCase):
    """Four nodes of one failure domain."""

    cluster: LocalCluster

    def setUp(self) -> None:
        """Start four nodes and wait until each lists all others."""
        self.cluster = start_cluster(
            self,
            nodes=4,
            domains=('buda-terem',),
            engines_per_domain=4,
        )
        self._wait_until_known(set(_NODES))

    def test_crash_and_restart_of_a_node(self) -> None:
        """The others remove it within ten seconds, and add it again."""
        self.cluster.processes['node3'].kill()
        seconds = self._wait_until_known(set(_NODES[:3]), observers=_NODES[:3])
        self.assertLess(seconds, 10)
        self.cluster.start_node('node3')
        self._wait_until_known(set(_NODES))

    def test_paused_node(self) -> None:
        """It is removed, detects its pause when resumed, and rejoins."""
        self.cluster.processes['node3'].pause()
        self._wait_until_known(set(_NODES[:3]), observers=_NODES[:3])
        self.cluster.processes['node3'].resume()
        self._wait_until_known(set(_NODES))
        log = (self.cluster.folder / 'node3.log').read_text('utf-8')
        self.assertIn('own_pause_noticed', log)

    def test_new_node_without_the_platform(self) -> None:
        """It finds peers by its settings and fetches their configuration."""
        control = self.cluster.control
        version = control.status('node0')
        assert version is not None
        self.cluster.processes['node3'].kill()
        control.set_platform_faults(down=True)
        self.cluster.start_node('node3')
        wait_until(self._has_config, 'the new node has the configuration')
        self._wait_until_known(set(_NODES))

    def _has_config(self) -> bool:
        status = self.cluster.control.status('node3')
        return status is not None and status.config_version == 1

    def _wait_until_known(
        self,
        names: set[str],
        observers: tuple[str, ...] = _NODES,
    ) -> float:
        return wait_until(
            lambda: all(
                self._nodes_known_by(name) == names for name in observers
            ),
            f'the nodes {observers} list exactly {sorted(names)}',
        )

    def _nodes_known_by(self, name: str) -> set[str]:
        status = self.cluster.control.status(name)
        return set(status.nodes) if status else set()
