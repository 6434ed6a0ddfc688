"""Clusters of local processes for functional tests."""

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
KEEP_LOGS_VARIABLE = 'CRANECART_KEEP_LOGS'
DOMAINS = ('buda-terem', 'pest-terem')


def start_cluster(
    test: type[unittest.TestCase] | unittest.TestCase,
    **options: Any,
) -> LocalCluster:
    """Start a cluster with the example deployment for a test or its class.

    ``options`` override fields of ClusterOptions.
    """
    if isinstance(test, unittest.TestCase):
        add_cleanup = test.addCleanup
    else:
        add_cleanup = test.addClassCleanup
    cluster_options = {'domains': DOMAINS, 'service': 'brigad-app', **options}
    cluster = LocalCluster(
        _folder(add_cleanup), ClusterOptions(**cluster_options)
    )
    add_cleanup(cluster.stop)
    cluster.__enter__()
    apply_example(cluster)
    return cluster


def apply_example(cluster: LocalCluster) -> None:
    """Apply the example declarations and wait until all nodes serve them."""
    control = cluster.control
    wait_until(
        lambda: _can_read_declarations(cluster), 'a node can read the platform'
    )
    declarations = compile_folder(EXAMPLES / 'katyuszerviz')
    curio.run(apply_change, control.operator(), declarations, 0, 'test')
    wait_until(
        lambda: all(_is_ready(cluster, name) for name in cluster.endpoints),
        'every node sees all replicas and services, and is ready',
    )


def _can_read_declarations(cluster: LocalCluster) -> bool:
    try:
        curio.run(cluster.control.operator().declared)
    except CranecartError:
        return False
    return True


def _is_ready(cluster: LocalCluster, node: str) -> bool:
    status = cluster.control.status(node)
    options = cluster.options
    # The example declares one replica for each of two failure domains.
    replicas = len(options.domains) if options.engines_per_domain else 0
    services = len(options.domains) * options.services_per_domain
    if status is None or not status.ready:
        return False
    return (
        len(status.replicas) >= replicas
        and len(status.services) >= services
        and len(status.nodes) == _domain_node_count(cluster, node)
    )


def _domain_node_count(cluster: LocalCluster, node: str) -> int:
    """Return the number of nodes in a node's failure domain, including it."""
    domains = cluster.options.domains
    node_domains = [
        number % len(domains) for number in range(len(cluster.endpoints))
    ]
    own_domain = node_domains[list(cluster.endpoints).index(node)]
    return node_domains.count(own_domain)


def _folder(add_cleanup: Any) -> Path:
    if os.environ.get(KEEP_LOGS_VARIABLE):
        kept_folder = tempfile.mkdtemp(prefix='cranecart-')
        sys.stderr.write(f'logs are kept in {kept_folder}\n')
        return Path(kept_folder)
    folder = tempfile.TemporaryDirectory(prefix='cranecart-')
    add_cleanup(folder.cleanup)
    return Path(folder.name)
