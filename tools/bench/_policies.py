"""Compare routing policies with late reports, a slow and a failed replica."""

import tempfile
from pathlib import Path

import attrs
import curio

from cranecart.cli._apply import apply_change
from cranecart.config import compile_folder
from cranecart.load_testing import (
    P50,
    P95,
    P99,
    Outcome,
    OutcomeKind,
    Profile,
    make_calls,
    quantile,
    run_load,
)
from cranecart.selection import POLICIES
from tools.cluster_control import wait_until
from tools.local_cluster import ClusterOptions, LocalCluster

_EXAMPLE = Path(__file__).parent.parent.parent / 'examples' / 'katyuszerviz'
_DOMAIN = 'buda-terem'
_REPLICAS = 4
_MEMBERS_PER_REPLICA = 2
_CALLS = 700
_CALLS_PER_SECOND = 35
_KILL_AFTER_SECONDS = 10.0
_MILLISECONDS = 1000
_SEED = 11
_NO_LIMIT = 100000
_PREFIXES = 24
_SLOW_ENGINE_FLAGS = ('--token_ms=30', '--first_token_ms=200')


def measure() -> dict[str, dict[str, float]]:
    """Return latencies, cache hit rate and failures of each policy."""
    return {name: _measure(name) for name in POLICIES}


def _measure(policy: str) -> dict[str, float]:
    options = ClusterOptions(
        domains=(_DOMAIN,),
        nodes=3,
        engines_per_domain=0,
        settings={'routing_policy': policy, 'log_level': 'warning'},
    )
    with tempfile.TemporaryDirectory() as folder:
        with LocalCluster(Path(folder), options) as cluster:
            _start_replicas(cluster)
            outcomes = curio.run(_run, cluster)
    first_token_ms = [
        outcome.first_token_seconds * _MILLISECONDS
        for outcome in outcomes
        if outcome.first_token_seconds is not None
    ]
    hits = sum(outcome.cache == 'hit' for outcome in outcomes)
    answered = sum(outcome.kind is OutcomeKind.ANSWERED for outcome in outcomes)
    return {
        'first_token_ms_p50': quantile(first_token_ms, P50),
        'first_token_ms_p95': quantile(first_token_ms, P95),
        'first_token_ms_p99': quantile(first_token_ms, P99),
        'hit_rate': hits / len(outcomes),
        'not_answered': len(outcomes) - answered,
    }


def _start_replicas(cluster: LocalCluster) -> None:
    control = cluster.control
    common = ('--slots=8', '--report_lag_ms=1000', '--prefill_ms=120')
    for number in range(_REPLICAS * _MEMBERS_PER_REPLICA):
        # The last replica's engines are slow.
        slow = (
            _SLOW_ENGINE_FLAGS
            if number >= (_REPLICAS - 1) * _MEMBERS_PER_REPLICA
            else ()
        )
        name = f'{_DOMAIN}-e{number}'
        cluster.start_engine(name, _DOMAIN, (*common, *slow))
    wait_until(lambda: control.status() is not None, 'a node answers')
    example = compile_folder(_EXAMPLE)
    spec = attrs.evolve(
        example.models[0],
        replicas=_REPLICAS,
        instances_per_replica=_MEMBERS_PER_REPLICA,
        failure_domains=(_DOMAIN,),
    )
    limits = attrs.evolve(
        example.organisations[0].limits,
        concurrent_requests=_NO_LIMIT,
        tokens_per_second=_NO_LIMIT,
    )
    organisations = tuple(
        attrs.evolve(organisation, limits=limits)
        for organisation in example.organisations
    )
    declarations = attrs.evolve(
        example,
        models=(spec,),
        organisations=organisations,
    )
    curio.run(apply_change, control.operator(), declarations, 0, 'bench')
    wait_until(
        lambda: all(
            len(control.serving_replicas(name)) == _REPLICAS
            for name in cluster.endpoints
        ),
        'all replicas serve',
    )


async def _run(cluster: LocalCluster) -> list[Outcome]:
    balancer = cluster.control.balancer()
    balancer_task = await curio.spawn(balancer.run, daemon=True)
    await curio.sleep(1)
    engine_name = await _leader_of_first(cluster)
    kill_task = await curio.spawn(_kill_later, cluster, engine_name)
    profile = Profile(
        api_keys=('demo-budapest',),
        models=('nyelvi-szerver',),
        tokens=24,
        stream_share=0,
        service_share=0,
        non_repeatable_share=0,
    )
    prompts = [
        f'{number:02} {"a long prefix of a complaint file " * 2}'
        for number in range(_PREFIXES)
    ]
    calls = make_calls(profile, prompts, _CALLS, _SEED)
    outcomes = await run_load(balancer, calls, _CALLS_PER_SECOND)
    await kill_task.join()
    await balancer_task.cancel()
    return outcomes


async def _leader_of_first(cluster: LocalCluster) -> str:
    replicas = await cluster.control.fetch_replicas('node0')
    return min(replicas, key=lambda replica: replica.id).members[0]


async def _kill_later(cluster: LocalCluster, engine_name: str) -> None:
    await curio.sleep(_KILL_AFTER_SECONDS)
    cluster.kill(engine_name)
