"""Soak test: inject random faults under load and report violations.

Usage: python -m tools.soak [--seed=N]
"""

import random
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import attrs
import curio
from absl import app, flags

from cranecart.cli._apply import apply_change
from cranecart.config import compile_folder
from cranecart.documents import read_document, structure
from cranecart.load_testing import (
    Outcome,
    Profile,
    Summary,
    make_calls,
    partial_starts,
    run_load,
    shared_instances,
    starts_while_leaving,
)
from cranecart.standins import read_record
from tools.chaos import DOMAINS, FaultInjector, Schedule
from tools.cluster_control import wait_until
from tools.local_cluster import ClusterOptions, LocalCluster

_SEED = flags.DEFINE_integer('seed', 1, 'seed of faults and load')
_SCHEDULE = Path(__file__).parent / 'soak_schedule.json'
_EXAMPLE = Path(__file__).parent.parent / 'examples' / 'katyuszerviz'
_MAX_MISSING_SECONDS = 5.0
_MAX_LEAVING_SECONDS = 4.0
_NON_REPEATABLE_SHARE = 0.4


def main(_arguments: Sequence[str]) -> int:
    """Run one soak test; return 1 if there were violations, else 0."""
    schedule = structure(read_document(_SCHEDULE), Schedule)
    options = ClusterOptions(
        domains=DOMAINS,
        nodes=4,
        engines_per_domain=6,
        service='brigad-app',
        engine_flags=('--nochecks_members',),
    )
    with tempfile.TemporaryDirectory() as folder:
        with LocalCluster(Path(folder), options) as cluster:
            _apply_declarations(cluster)
            outcomes = curio.run(_run, cluster, schedule)
        events = read_record(cluster.record)
    return _report(outcomes, events)


def _report(outcomes: Sequence[Outcome], events: list[dict[str, Any]]) -> int:
    summary = Summary.from_outcomes(outcomes, events)
    violation_counts = {
        'instances in two replicas': len(shared_instances(events)),
        'starts on a replica known to lack a member': sum(
            start.seconds_missing > _MAX_MISSING_SECONDS
            for start in partial_starts(events)
        ),
        'starts on a leaving target': sum(
            start.seconds_since_leaving > _MAX_LEAVING_SECONDS
            for start in starts_while_leaving(events)
        ),
    }
    for name, number in {**attrs.asdict(summary), **violation_counts}.items():
        sys.stdout.write(f'{name.replace("_", " ")}: {number:.6g}\n')
    violations = summary.violations + sum(violation_counts.values())
    sys.stdout.write(f'violations: {violations}\n')
    return int(bool(violations))


def _apply_declarations(cluster: LocalCluster) -> None:
    control = cluster.control
    wait_until(lambda: control.status() is not None, 'a node answers')
    declarations = compile_folder(_EXAMPLE)
    curio.run(apply_change, control.operator(), declarations, 0, 'soak')
    wait_until(
        lambda: all(
            len(control.serving_replicas(name)) == 2
            for name in cluster.endpoints
        ),
        'all replicas serve',
    )


async def _run(cluster: LocalCluster, schedule: Schedule) -> list[Outcome]:
    random_source = random.Random(_SEED.value)
    injector_task = await curio.spawn(
        FaultInjector(cluster, schedule, random_source).run
    )
    balancer = cluster.control.balancer()
    balancer_task = await curio.spawn(balancer.run, daemon=True)
    profile = Profile(
        api_keys=('demo-budapest', 'demo-gyor'),
        models=('nyelvi-szerver',),
        services=(('brigad-app', '/next'), ('brigad-app', '/confirm')),
        non_repeatable_share=_NON_REPEATABLE_SHARE,
    )
    seconds = schedule.count * (schedule.lasts_seconds + schedule.rest_seconds)
    count = seconds * schedule.calls_per_second
    calls = make_calls(profile, ['one', 'two'], count, _SEED.value)
    outcomes = await run_load(
        balancer,
        calls,
        schedule.calls_per_second,
        retries=2,
    )
    await injector_task.join()
    await balancer_task.cancel()
    return outcomes


if __name__ == '__main__':
    app.run(main)
