"""Routing policies on one seeded load: late reports, one slow, one dead."""

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
_SIZE = 2
_CALLS = 700
_PER_SECOND = 35
_DIE_AFTER_SECONDS = 10.0
_MILLISECONDS = 1000
_SEED = 11
_NO_LIMIT = 100000
_PREFIXES = 24
_SLOW_FLAGS = ('--token_ms=30', '--first_token_ms=200')


def measure() -> dict[str, dict[str, float]]:
    """Return latencies, hits and refusals of each policy."""
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
            _bring_up(cluster)
            outcomes = curio.run(_run, cluster)
    firsts = [
        outcome.first_token_seconds * _MILLISECONDS
        for outcome in outcomes
        if outcome.first_token_seconds is not None
    ]
    hits = sum(outcome.cache == 'hit' for outcome in outcomes)
    answered = sum(one.kind is OutcomeKind.ANSWERED for one in outcomes)
    return {
        'first_token_ms_p50': quantile(firsts, P50),
        'first_token_ms_p95': quantile(firsts, P95),
        'first_token_ms_p99': quantile(firsts, P99),
        'hit_rate': hits / len(outcomes),
        'not_answered': len(outcomes) - answered,
    }


def _bring_up(cluster: LocalCluster) -> None:
    control = cluster.control
    common = ('--slots=8', '--report_lag_ms=1000', '--prefill_ms=120')
    for number in range(_REPLICAS * _SIZE):
        # The last replica's engines are slow.
        slow = _SLOW_FLAGS if number >= (_REPLICAS - 1) * _SIZE else ()
        name = f'{_DOMAIN}-e{number}'
        cluster.start_engine(name, _DOMAIN, (*common, *slow))
    wait_until(lambda: control.status() is not None, 'a node answers')
    declared = compile_folder(_EXAMPLE)
    spec = attrs.evolve(
        declared.models[0],
        replicas=_REPLICAS,
        instances_per_replica=_SIZE,
        failure_domains=(_DOMAIN,),
    )
    limits = attrs.evolve(
        declared.organisations[0].limits,
        concurrent_requests=_NO_LIMIT,
        tokens_per_second=_NO_LIMIT,
    )
    organisations = tuple(
        attrs.evolve(one, limits=limits) for one in declared.organisations
    )
    wanted = attrs.evolve(
        declared,
        models=(spec,),
        organisations=organisations,
    )
    curio.run(apply_change, control.operator(), wanted, 0, 'bench')
    wait_until(
        lambda: all(
            len(control.serving(name)) == _REPLICAS for name in cluster.entries
        ),
        'all replicas serve',
    )


async def _run(cluster: LocalCluster) -> list[Outcome]:
    balancer = cluster.control.balancer()
    watching = await curio.spawn(balancer.run, daemon=True)
    await curio.sleep(1)
    victim = await _leader_of_first(cluster)
    killing = await curio.spawn(_kill_later, cluster, victim)
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
    outcomes = await run_load(balancer, calls, _PER_SECOND)
    await killing.join()
    await watching.cancel()
    return outcomes


async def _leader_of_first(cluster: LocalCluster) -> str:
    replicas = await cluster.control.replicas_now('node0')
    return min(replicas, key=lambda replica: replica.id).members[0]


async def _kill_later(cluster: LocalCluster, victim: str) -> None:
    await curio.sleep(_DIE_AFTER_SECONDS)
    cluster.kill(victim)
