"""Propagation time of configuration changes and lost instances."""

import tempfile
import time
from pathlib import Path

import attrs
import curio

from cranecart.cli._apply import apply_change, wait_until_in_force
from cranecart.config import compile_folder
from cranecart.declarations import Declarations
from tools.cluster_control import wait_until
from tools.local_cluster import ClusterOptions, LocalCluster

_EXAMPLE = Path(__file__).parent.parent.parent / 'examples' / 'katyuszerviz'
_DOMAINS = ('buda-terem', 'pest-terem')
_CHANGE_COUNT = 6
_LOSS_COUNT = 3
_LOAD_SECONDS = 0.5
_TIMEOUT_SECONDS = 30.0

Figures = dict[str, list[float]]


def measure() -> Figures:
    """Return the times in seconds for each change and each loss."""
    options = ClusterOptions(
        domains=_DOMAINS,
        nodes=9,
        engines_per_domain=8,
        platform_flags=('--load_ms=500',),
    )
    with tempfile.TemporaryDirectory() as folder:
        with LocalCluster(Path(folder), options) as cluster:
            declarations = compile_folder(_EXAMPLE)
            wait_until(lambda: _all_respond(cluster), 'all nodes answer')
            in_force = [
                _change_seconds(cluster, declarations, number)
                for number in range(_CHANGE_COUNT)
            ]
            wait_until(lambda: _all_serve(cluster), 'all replicas serve', 60)
            losses = [_loss_seconds(cluster) for _loss in range(_LOSS_COUNT)]
    return {
        'in_force_seconds': in_force,
        'absent_everywhere_seconds': [
            until_absent for until_absent, _ in losses
        ],
        'serving_again_less_load_seconds': [
            until_serving - _LOAD_SECONDS for _, until_serving in losses
        ],
    }


def _change_seconds(
    cluster: LocalCluster,
    declarations: Declarations,
    number: int,
) -> float:
    client = cluster.control.operator()
    changed = attrs.evolve(
        declarations, region=f'{declarations.region} {number}'
    )
    change = curio.run(apply_change, client, changed, None, 'bench')
    started = time.monotonic()
    for node in cluster.endpoints:
        node_client = cluster.control.operator(node)
        curio.run(
            wait_until_in_force, node_client, change.version, _TIMEOUT_SECONDS
        )
    return time.monotonic() - started


def _loss_seconds(cluster: LocalCluster) -> tuple[float, float]:
    replica = next(
        replica
        for replica in cluster.control.serving_replicas()
        if replica.failure_domain == _DOMAINS[0]
    )
    started = time.monotonic()
    cluster.kill(replica.members[1])
    wait_until(
        lambda: (
            not any(
                replica.key in _serving_keys(cluster, name)
                for name in cluster.endpoints
            )
        ),
        'the replica is absent on every node',
    )
    until_absent = time.monotonic() - started
    wait_until(lambda: _all_serve(cluster), 'all replicas serve again')
    return until_absent, time.monotonic() - started


def _all_respond(cluster: LocalCluster) -> bool:
    return all(
        cluster.control.status(name) is not None for name in cluster.endpoints
    )


def _all_serve(cluster: LocalCluster) -> bool:
    return all(
        len(_serving_keys(cluster, name)) == len(_DOMAINS)
        for name in cluster.endpoints
    )


def _serving_keys(cluster: LocalCluster, node: str) -> set[tuple[str, int]]:
    return {replica.key for replica in cluster.control.serving_replicas(node)}
