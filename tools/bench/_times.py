"""How long until all know: of a change, and of a lost instance."""

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
_CHANGES = 6
_LOSSES = 3
_LOAD_SECONDS = 0.5
_LONGEST_SECONDS = 30.0

Figures = dict[str, list[float]]


def measure() -> Figures:
    """Return seconds, one figure for each change and each loss."""
    options = ClusterOptions(
        domains=_DOMAINS,
        nodes=9,
        engines_per_domain=8,
        platform_flags=('--load_ms=500',),
    )
    with tempfile.TemporaryDirectory() as folder:
        with LocalCluster(Path(folder), options) as cluster:
            declared = compile_folder(_EXAMPLE)
            wait_until(lambda: _all_answer(cluster), 'all nodes answer')
            in_force = [
                _time_of_change(cluster, declared, number)
                for number in range(_CHANGES)
            ]
            wait_until(lambda: _all_serve(cluster), 'all replicas serve', 60)
            losses = [_time_of_loss(cluster) for _loss in range(_LOSSES)]
    return {
        'in_force_seconds': in_force,
        'absent_everywhere_seconds': [absent for absent, _ in losses],
        'serving_again_less_load_seconds': [
            again - _LOAD_SECONDS for _, again in losses
        ],
    }


def _time_of_change(
    cluster: LocalCluster,
    declared: Declarations,
    number: int,
) -> float:
    client = cluster.control.operator()
    changed = attrs.evolve(declared, region=f'{declared.region} {number}')
    change = curio.run(apply_change, client, changed, None, 'bench')
    started = time.monotonic()
    for node in cluster.entries:
        other = cluster.control.operator(node)
        curio.run(wait_until_in_force, other, change.version, _LONGEST_SECONDS)
    return time.monotonic() - started


def _time_of_loss(cluster: LocalCluster) -> tuple[float, float]:
    replica = next(
        one
        for one in cluster.control.serving()
        if one.failure_domain == _DOMAINS[0]
    )
    started = time.monotonic()
    cluster.kill(replica.members[1])
    wait_until(
        lambda: (
            not any(
                replica.key in _keys(cluster, name) for name in cluster.entries
            )
        ),
        'the replica is absent on every node',
    )
    absent = time.monotonic() - started
    wait_until(lambda: _all_serve(cluster), 'all replicas serve again')
    return absent, time.monotonic() - started


def _all_answer(cluster: LocalCluster) -> bool:
    return all(
        cluster.control.status(name) is not None for name in cluster.entries
    )


def _all_serve(cluster: LocalCluster) -> bool:
    return all(
        len(_keys(cluster, name)) == len(_DOMAINS) for name in cluster.entries
    )


def _keys(cluster: LocalCluster, node: str) -> set[tuple[str, int]]:
    return {replica.key for replica in cluster.control.serving(node)}
