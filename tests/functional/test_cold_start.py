"""A simultaneous start of everything doesn't overload the platform."""

import time
import unittest

from tests.lib.clusters import start_cluster
from tools.cluster_control import wait_until
from tools.local_cluster import LocalCluster

_NODES = 6
_MAX_READS_PER_NODE = 6.0
_MAX_WRITES_PER_SECOND = 10.0
_RECOVERY_SECONDS = 30.0


class ColdStartTest(unittest.TestCase):
    """Six nodes and ten engines start before the platform is back."""

    cluster: LocalCluster

    def setUp(self) -> None:
        """Start a cluster."""
        self.cluster = start_cluster(self, nodes=_NODES)

    def test_simultaneous_start(self) -> None:
        """All replicas serve again, with reads and writes within their limits."""
        control = self.cluster.control
        control.set_platform_faults(down=True)
        engines = [
            f'{domain}-e{number}'
            for domain in self.cluster.options.domains
            for number in range(self.cluster.options.engines_per_domain)
        ]
        for name in (*engines, *self.cluster.endpoints):
            self.cluster.kill(name)
        for name in engines:
            self.cluster.start_engine(name, name.rpartition('-')[0])
        for name in self.cluster.endpoints:
            self.cluster.start_node(name)
        time.sleep(3)
        control.set_platform_faults()
        before = control.platform_counts()
        started = time.monotonic()
        wait_until(
            self._all_serve, 'all replicas serve again', _RECOVERY_SECONDS
        )
        seconds = time.monotonic() - started
        after = control.platform_counts()
        reads = (after['reads'] - before['reads']) / seconds
        writes = (after['writes'] - before['writes']) / seconds
        self.assertLess(reads, _MAX_READS_PER_NODE * _NODES)
        self.assertLess(writes, _MAX_WRITES_PER_SECOND)

    def _all_serve(self) -> bool:
        return all(
            len(self.cluster.control.serving_replicas(name)) == 2
            for name in self.cluster.endpoints
        )
