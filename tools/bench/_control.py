"""Control-plane cost of one idle node by cluster size."""

import subprocess
import sys
import tempfile
import time
from collections import defaultdict
from collections.abc import Generator
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from pathlib import Path

import attrs
import curio

from cranecart.cli._apply import apply_change
from cranecart.config import compile_folder
from cranecart.declarations import Declarations
from tools.bench._measure import Usage
from tools.cluster_control import wait_until
from tools.local_cluster import ClusterOptions, LocalCluster
from tools.processes import loopback_host

_EXAMPLE = Path(__file__).parent.parent.parent / 'examples' / 'katyuszerviz'
_DOMAIN = 'buda-terem'
_SETTLE_SECONDS = 7.0
_MEASURE_SECONDS = 8.0
NODE_SIZES = (3, 12, 24, 45)
INSTANCE_SIZES = (0, 34, 68, 136)
ORGANISATION_SIZES = (2, 50, 200, 600)
_FIXED_NODES = 4
_PARALLEL_CLUSTERS = 3
_MAX_IDLE_CHECKS = 25
_IDLE_BYTES_PER_SECOND = 4000
_IDLE_CHECK_SECONDS = 2.0

Rates = dict[str, float]
Points = list[tuple[int, Rates]]


def measure() -> dict[str, Points]:
    """Measure one node at each size, three clusters in parallel."""
    sizes = (
        *(('nodes', size) for size in reversed(NODE_SIZES)),
        *(('instances', size) for size in INSTANCE_SIZES),
        *(('organisations', size) for size in ORGANISATION_SIZES),
    )
    with ProcessPoolExecutor(_PARALLEL_CLUSTERS) as pool:
        rates = list(pool.map(_measure_size, sizes))
    points: dict[str, Points] = defaultdict(list)
    for (size_kind, size), cost in zip(sizes, rates, strict=True):
        points[size_kind].append((size, cost))
    return points


def _measure_size(size: tuple[str, int]) -> Rates:
    match size:
        case 'nodes', count:
            return _measure(count, 0, None)
        case 'instances', count:
            # Each of the four nodes probes half of the instances.
            return _measure(_FIXED_NODES, count, None)
        case _, count:
            return _measure(_FIXED_NODES, 0, _declare_organisations(count))


def _declare_organisations(count: int) -> Declarations:
    declarations = _declare_without_models()
    first = declarations.organisations[0]
    organisations = tuple(
        attrs.evolve(first, name=f'organisation-{number:05}')
        for number in range(count)
    )
    return attrs.evolve(declarations, organisations=organisations)


def _declare_without_models() -> Declarations:
    declarations = compile_folder(_EXAMPLE)
    # Without models nothing is placed, so the control plane stays idle.
    return attrs.evolve(declarations, models=())


def _measure(
    nodes: int,
    instances: int,
    declarations: Declarations | None,
) -> Rates:
    with _cluster(
        nodes, instances, declarations or _declare_without_models()
    ) as cluster:
        time.sleep(_SETTLE_SECONDS)
        _wait_until_idle(cluster)
        pid = cluster.processes['node1'].popen.pid
        admin = cluster.endpoints['node1'].operators
        before = Usage.of_node(pid, admin)
        platform = _platform_counts(cluster)
        time.sleep(_MEASURE_SECONDS)
        rates = Usage.of_node(pid, admin).rates_since(before)
        after = _platform_counts(cluster)
    rates['all_platform_reads'] = (
        after['reads'] - platform['reads']
    ) / _MEASURE_SECONDS
    rates['all_platform_writes'] = (
        after['writes'] - platform['writes']
    ) / _MEASURE_SECONDS
    return rates


def _wait_until_idle(cluster: LocalCluster) -> None:
    """Wait until the traffic caused by the start has subsided.

    Returns in any case after the maximum number of checks.
    """
    pid = cluster.processes['node1'].popen.pid
    admin = cluster.endpoints['node1'].operators
    for _ in range(_MAX_IDLE_CHECKS):
        before = Usage.of_node(pid, admin)
        time.sleep(_IDLE_CHECK_SECONDS)
        rates = Usage.of_node(pid, admin).rates_since(before)
        if rates['peer_bytes_sent'] < _IDLE_BYTES_PER_SECOND:
            return


def _platform_counts(cluster: LocalCluster) -> dict[str, int]:
    return cluster.control.platform_counts()


@contextmanager
def _cluster(
    nodes: int,
    instances: int,
    declarations: Declarations,
) -> Generator[LocalCluster, None, None]:
    options = ClusterOptions(
        domains=(_DOMAIN,),
        nodes=nodes,
        engines_per_domain=0,
        settings={'log_level': 'warning'},
    )
    with tempfile.TemporaryDirectory() as folder:
        with LocalCluster(Path(folder), options) as cluster:
            engines = _start_engines(cluster, instances)
            try:
                _apply_declarations(cluster, declarations)
                yield cluster
            finally:
                engines.kill()
                engines.wait()


def _start_engines(
    cluster: LocalCluster,
    instances: int,
) -> subprocess.Popen[bytes]:
    return subprocess.Popen(
        [
            sys.executable,
            '-m',
            'tools.many_engines',
            loopback_host(),
            str(cluster.addresses['platform']),
            _DOMAIN,
            str(instances),
        ],
    )


def _apply_declarations(
    cluster: LocalCluster, declarations: Declarations
) -> None:
    control = cluster.control
    wait_until(lambda: control.status() is not None, 'a node answers')
    curio.run(apply_change, control.operator(), declarations, 0, 'bench')
    wait_until(
        lambda: _is_converged(cluster),
        'all nodes know each other and have the configuration',
        60,
    )


def _is_converged(cluster: LocalCluster) -> bool:
    return all(
        status is not None
        and status.config_version == 1
        and len(status.nodes) == len(cluster.endpoints)
        for status in map(cluster.control.status, cluster.endpoints)
    )
