"""Clusters for functional tests."""

import os
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

import curio

from cranecart.cli._apply import apply_change
from cranecart.config import compile_folder
from cranecart.exceptions import CranecartError
from tools.cluster_control import wait_until
from tools.local_cluster import ClusterOptions, LocalCluster

EXAMPLES = Path(__file__).parent.parent.parent / 'examples'
KEEP_VARIABLE = 'CRANECART_KEEP_LOGS'
DOMAINS = ('buda-terem', 'pest-terem')


def start_cluster(
    test: type[unittest.TestCase] | unittest.TestCase,
    **options: Any,
) -> LocalCluster:
    """Start a cluster of the first example for a test or a test class."""
    if isinstance(test, unittest.TestCase):
        add_cleanup = test.addCleanup
    else:
        add_cleanup = test.addClassCleanup
    chosen = {'domains': DOMAINS, 'service': 'brigad-app', **options}
    cluster = LocalCluster(_folder(add_cleanup), ClusterOptions(**chosen))
    add_cleanup(cluster.stop)
    cluster.__enter__()
    bring_up(cluster)
    return cluster


def bring_up(cluster: LocalCluster) -> None:
    """Apply the example and wait until its replicas serve everywhere."""
    control = cluster.control
    wait_until(lambda: _reads_platform(cluster), 'a node reads the platform')
    declared = compile_folder(EXAMPLES / 'katyuszerviz')
    curio.run(apply_change, control.operator(), declared, 0, 'test')
    wait_until(
        lambda: all(_is_up(cluster, name) for name in cluster.endpoints),
        'every node sees all replicas and services, and is ready',
    )


def _reads_platform(cluster: LocalCluster) -> bool:
    try:
        curio.run(cluster.control.operator().declared)
    except CranecartError:
        return False
    return True


def _is_up(cluster: LocalCluster, node: str) -> bool:
    status = cluster.control.status(node)
    options = cluster.options
    # The example declares two replicas, one for each of two domains.
    replicas = len(options.domains) if options.engines_per_domain else 0
    services = len(options.domains) * options.services_per_domain
    if status is None or not status.ready:
        return False
    return (
        len(status.replicas) >= replicas
        and len(status.services) >= services
        and len(status.nodes) == _nodes_beside(cluster, node)
    )


def _nodes_beside(cluster: LocalCluster, node: str) -> int:
    """Return how many nodes a node's failure domain has, with itself."""
    domains = cluster.options.domains
    places = [number % len(domains) for number in range(len(cluster.endpoints))]
    own = places[list(cluster.endpoints).index(node)]
    return places.count(own)


def _folder(add_cleanup: Any) -> Path:
    if os.environ.get(KEEP_VARIABLE):
        kept = tempfile.mkdtemp(prefix='cranecart-')
        sys.stderr.write(f'logs stay in {kept}\n')
        return Path(kept)
    folder = tempfile.TemporaryDirectory(prefix='cranecart-')
    add_cleanup(folder.cleanup)
    return Path(folder.name)
