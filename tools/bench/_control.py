"""The cost of control of one idle node, against what it depends on."""

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
_WINDOW_SECONDS = 8.0
NODE_SIZES = (3, 12, 24, 45)
INSTANCE_SIZES = (0, 34, 68, 136)
ORGANISATION_SIZES = (2, 50, 200, 600)
_FOUR = 4
_AT_ONCE = 3
_MOST_WAITS = 25
_QUIET_BYTES = 4000
_LOOK_SECONDS = 2.0

Rates = dict[str, float]
Points = list[tuple[int, Rates]]


def measure() -> dict[str, Points]:
    """Measure one node against all sizes, three clusters at a time."""
    sizes = (
        *(('nodes', size) for size in reversed(NODE_SIZES)),
        *(('instances', size) for size in INSTANCE_SIZES),
        *(('organisations', size) for size in ORGANISATION_SIZES),
    )
    with ProcessPoolExecutor(_AT_ONCE) as pool:
        rates = list(pool.map(_measure_size, sizes))
    points: dict[str, Points] = defaultdict(list)
    for (against, size), measured in zip(sizes, rates, strict=True):
        points[against].append((size, measured))
    return points


def _measure_size(size: tuple[str, int]) -> Rates:
    match size:
        case 'nodes', count:
            return _measure(count, 0, None)
        case 'instances', count:
            # Each of four nodes asks half of them.
            return _measure(_FOUR, count, None)
        case _, count:
            return _measure(_FOUR, 0, _with_organisations(count))


def _with_organisations(count: int) -> Declarations:
    declared = _declared()
    first = declared.organisations[0]
    many = tuple(
        attrs.evolve(first, name=f'organisation-{number:05}')
        for number in range(count)
    )
    return attrs.evolve(declared, organisations=many)


def _declared() -> Declarations:
    declared = compile_folder(_EXAMPLE)
    # Nothing to place: the cost of idle control is asked for.
    return attrs.evolve(declared, models=())


def _measure(
    nodes: int,
    instances: int,
    declared: Declarations | None,
) -> Rates:
    with _cluster(nodes, instances, declared or _declared()) as cluster:
        time.sleep(_SETTLE_SECONDS)
        _wait_until_quiet(cluster)
        pid = cluster.processes['node1'].popen.pid
        admin = cluster.entries['node1'].operators
        before = Usage.of_node(pid, admin)
        platform = _platform_counts(cluster)
        time.sleep(_WINDOW_SECONDS)
        rates = Usage.of_node(pid, admin).rates_since(before)
        after = _platform_counts(cluster)
    rates['all_platform_reads'] = (
        after['reads'] - platform['reads']
    ) / _WINDOW_SECONDS
    rates['all_platform_writes'] = (
        after['writes'] - platform['writes']
    ) / _WINDOW_SECONDS
    return rates


def _wait_until_quiet(cluster: LocalCluster) -> None:
    """Wait until the news of the start has been spread."""
    pid = cluster.processes['node1'].popen.pid
    admin = cluster.entries['node1'].operators
    for _ in range(_MOST_WAITS):
        before = Usage.of_node(pid, admin)
        time.sleep(_LOOK_SECONDS)
        rates = Usage.of_node(pid, admin).rates_since(before)
        if rates['peer_bytes_sent'] < _QUIET_BYTES:
            return


def _platform_counts(cluster: LocalCluster) -> dict[str, int]:
    return cluster.control.platform_counts()


@contextmanager
def _cluster(
    nodes: int,
    instances: int,
    declared: Declarations,
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
                _bring_up(cluster, declared)
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


def _bring_up(cluster: LocalCluster, declared: Declarations) -> None:
    control = cluster.control
    wait_until(lambda: control.status() is not None, 'a node answers')
    curio.run(apply_change, control.operator(), declared, 0, 'bench')
    wait_until(
        lambda: _all_know_all(cluster),
        'all nodes know all and hold the configuration',
        60,
    )


def _all_know_all(cluster: LocalCluster) -> bool:
    return all(
        status is not None
        and status.config_version == 1
        and len(status.nodes) == len(cluster.entries)
        for status in map(cluster.control.status, cluster.entries)
    )
