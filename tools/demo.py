"""Run the whole system for two example deployments and check the results.

For each deployment it starts a platform, engines, plain services and three
nodes as separate processes, applies the declarations under examples/, sends
prompts, kills one instance midway and waits until its replica has been repaired
and serves again.
"""

import signal
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path

import attrs
import curio
from absl import app, flags

from cranecart.cli import main as cranecart
from cranecart.load_testing import (
    Outcome,
    Profile,
    Summary,
    make_calls,
    run_load,
)
from cranecart.standins import read_record
from tools.cluster_control import OPERATOR_KEY, wait_until
from tools.downtime import GroupTimes, group_times
from tools.local_cluster import ClusterOptions, LocalCluster

_SEED = flags.DEFINE_integer('seed', 1, 'seed of everything random')
_EXAMPLES = Path(__file__).parent.parent / 'examples'
_CALLS = 160
_CALLS_PER_SECOND = 20
_KILL_AFTER_SECONDS = 2.5
_BALANCER_START_SECONDS = 1.0
_RETRIES = 3


@attrs.frozen
class DemoDeployment:
    """A scaled-down example deployment."""

    name: str
    domains: tuple[str, str]
    model: str
    service: str
    api_keys: tuple[str, ...]


_DEPLOYMENTS = (
    DemoDeployment(
        'katyuszerviz',
        ('buda-terem', 'pest-terem'),
        'nyelvi-szerver',
        'brigad-app',
        ('demo-budapest', 'demo-gyor'),
    ),
    DemoDeployment(
        'atril',
        ('cdmx-a', 'cdmx-b'),
        'atril-llm',
        'atril-library',
        ('demo-conservatories',),
    ),
)


def main(_arguments: Sequence[str]) -> int:
    """Run both deployments; return 1 if there were violations, else 0."""
    # SIGTERM unwinds like Ctrl-C, so that child processes are stopped.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    verdicts = [
        run_deployment(deployment, _SEED.value) for deployment in _DEPLOYMENTS
    ]
    return 0 if all(verdicts) else 1


def run_deployment(deployment: DemoDeployment, seed: int) -> bool:
    """Run one deployment; return whether all calls succeeded correctly."""
    options = ClusterOptions(
        domains=deployment.domains,
        service=deployment.service,
        platform_flags=('--load_ms=400',),
    )
    with tempfile.TemporaryDirectory() as folder:
        cluster = LocalCluster(Path(folder), options)
        with cluster:
            outcomes = _run_cluster(cluster, deployment, seed)
            ended_at = time.monotonic()
        events = read_record(cluster.record)
    summary = Summary.from_outcomes(outcomes, events)
    _print_results(deployment, summary, group_times(events, ended_at))
    return not summary.violations and summary.answered >= _CALLS


def _run_cluster(
    cluster: LocalCluster,
    deployment: DemoDeployment,
    seed: int,
) -> list[Outcome]:
    _apply(cluster, deployment)
    _wait_for_replicas(cluster)
    instance = _member_in_first_domain(cluster, deployment)
    outcomes = curio.run(_send_and_kill, cluster, deployment, instance, seed)
    _wait_for_replicas(cluster)
    return outcomes


def _wait_for_replicas(cluster: LocalCluster) -> None:
    wait_until(
        lambda: len(cluster.control.serving_replicas()) == 2,
        'both replicas serve',
    )


def _apply(cluster: LocalCluster, deployment: DemoDeployment) -> None:
    wait_until(lambda: cluster.control.status() is not None, 'a node answers')
    address = cluster.endpoints['node0'].operators
    code = cranecart(
        [
            'apply',
            str(_EXAMPLES / deployment.name),
            f'--node_address={address}',
            '--note=demo',
        ],
    )
    if code:
        sys.exit(code)


async def _send_and_kill(
    cluster: LocalCluster,
    deployment: DemoDeployment,
    instance: str,
    seed: int,
) -> list[Outcome]:
    profile = Profile(
        api_keys=deployment.api_keys,
        models=[deployment.model],
        services=[
            (deployment.service, '/next-stop'),
            (deployment.service, '/confirm'),
        ],
    )
    balancer = cluster.control.balancer()
    balancer_task = await curio.spawn(balancer.run, daemon=True)
    await curio.sleep(_BALANCER_START_SECONDS)
    kill_task = await curio.spawn(_kill_later, cluster, instance)
    calls = make_calls(profile, _prompts(), _CALLS, seed)
    outcomes = await run_load(balancer, calls, _CALLS_PER_SECOND, _RETRIES)
    await kill_task.join()
    await balancer_task.cancel()
    return outcomes


def _member_in_first_domain(
    cluster: LocalCluster,
    deployment: DemoDeployment,
) -> str:
    """Return a member of the replica in the first failure domain."""
    status = cluster.control.status()
    replicas = status.replicas if status else ()
    return next(
        replica.members[1]
        for replica in replicas
        if replica.failure_domain == deployment.domains[0]
    )


async def _kill_later(cluster: LocalCluster, instance: str) -> None:
    await curio.sleep(_KILL_AFTER_SECONDS)
    sys.stdout.write(f'killing instance {instance}\n')
    cluster.kill(instance)


def _prompts() -> list[str]:
    lines = (_EXAMPLES / 'prompts.txt').read_text('utf-8').splitlines()
    return [line for line in lines if line and not line.startswith('#')]


def _print_results(
    deployment: DemoDeployment,
    summary: Summary,
    times: GroupTimes,
) -> None:
    numbers = {**attrs.asdict(summary), **attrs.asdict(times)}
    sys.stdout.write(f'{deployment.name}:\n')
    for name, number in numbers.items():
        formatted = f'{number:.1f}' if isinstance(number, float) else number
        sys.stdout.write(f'  {name.replace("_", " ")}: {formatted}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    import os

    os.environ['CRANECART_OPERATOR_KEY'] = OPERATOR_KEY
    app.run(main)
