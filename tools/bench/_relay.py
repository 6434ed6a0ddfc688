"""Cost of relaying streams, compared with a minimal TCP relay (the pump)."""

import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path

import attrs
import curio
import msgspec

from cranecart.cli._apply import apply_change
from cranecart.config import compile_folder
from cranecart.http import Address, HttpConnection, Request
from cranecart.load_testing import P50, P95, P99, quantile
from cranecart.targets import ServingReplica
from tools.bench._measure import Usage
from tools.cluster_control import wait_until
from tools.local_cluster import ClusterOptions, LocalCluster

_EXAMPLE = Path(__file__).parent.parent.parent / 'examples' / 'katyuszerviz'
_DOMAIN = 'buda-terem'
_REQUEST_COUNT = 120
_REQUESTS_PER_SECOND = 10
_TOKENS_PER_REQUEST = 390
_TOKEN_MS = 20
_NO_LIMIT = 1000000
_MILLISECONDS = 1000
_EVENT_END = b'\n\n'


@attrs.frozen
class RelayCost:
    """Cost of relaying by one program."""

    cpu_us_per_event: float
    first_token_ms: tuple[float, float, float]
    events_per_second: float
    memory_mb: float


@attrs.define
class _Stream:
    started_at: float
    first_event_at: float = 0
    events: int = 0


def measure() -> dict[str, RelayCost]:
    """Measure the pump, then the node, with the same engine."""
    options = ClusterOptions(
        domains=(_DOMAIN,),
        nodes=1,
        engines_per_domain=4,
        engine_flags=(
            f'--token_ms={_TOKEN_MS}',
            '--slots=256',
            '--prefill_ms=0',
        ),
    )
    with tempfile.TemporaryDirectory() as folder:
        with LocalCluster(Path(folder), options) as cluster:
            _start_replica(cluster)
            return {
                'pump': _measure_pump(cluster),
                'node': _measure_node(cluster),
            }


def _start_replica(cluster: LocalCluster) -> None:
    control = cluster.control
    wait_until(lambda: control.status() is not None, 'the node answers')
    example = compile_folder(_EXAMPLE)
    models = tuple(
        attrs.evolve(spec, replicas=1, failure_domains=(_DOMAIN,))
        for spec in example.models
    )
    limits = attrs.evolve(
        example.organisations[0].limits,
        concurrent_requests=1000,
        tokens_per_second=_NO_LIMIT,
    )
    organisations = tuple(
        attrs.evolve(organisation, limits=limits)
        for organisation in example.organisations
    )
    declarations = attrs.evolve(
        example,
        models=models,
        organisations=organisations,
    )
    curio.run(apply_change, control.operator(), declarations, 0, 'bench')
    wait_until(lambda: bool(control.serving_replicas()), 'the replica serves')
    time.sleep(3)


def _measure_pump(cluster: LocalCluster) -> RelayCost:
    replica = cluster.control.serving_replicas()[0]
    address = cluster.reserve()
    pump = subprocess.Popen(
        [
            sys.executable,
            '-m',
            'tools.pump',
            str(address),
            str(replica.leader),
        ],
    )
    try:
        time.sleep(1)
        return _measure(pump.pid, address, replica)
    finally:
        pump.kill()
        pump.wait()


def _measure_node(cluster: LocalCluster) -> RelayCost:
    replica = cluster.control.serving_replicas()[0]
    pid = cluster.processes['node0'].popen.pid
    before = Usage.of_process(pid)
    time.sleep(3)
    idle = Usage.of_process(pid).rates_since(before)['cpu_ms']
    address = cluster.endpoints['node0'].clients
    cost = _measure(pid, address, replica)
    # Control-plane work continues during the relaying: subtract its idle cost.
    control_us = idle * _MILLISECONDS / cost.events_per_second
    return attrs.evolve(
        cost,
        cpu_us_per_event=cost.cpu_us_per_event - control_us,
    )


def _measure(
    pid: int,
    address: Address,
    replica: ServingReplica,
) -> RelayCost:
    before = Usage.of_process(pid)
    streams = curio.run(_send_all, address, replica)
    after = Usage.of_process(pid)
    events = sum(stream.events for stream in streams)
    firsts = [
        (stream.first_event_at - stream.started_at) * _MILLISECONDS
        for stream in streams
    ]
    used = after.cpu_ms - before.cpu_ms
    return RelayCost(
        used * _MILLISECONDS / events,
        (
            quantile(firsts, P50),
            quantile(firsts, P95),
            quantile(firsts, P99),
        ),
        events / (after.at - before.at),
        after.memory_mb,
    )


async def _send_all(
    address: Address,
    replica: ServingReplica,
) -> Sequence[_Stream]:
    started_at = time.monotonic()
    async with curio.TaskGroup(wait=all) as tasks:
        for number in range(_REQUEST_COUNT):
            send_at = started_at + number / _REQUESTS_PER_SECOND
            await curio.sleep(max(0, send_at - time.monotonic()))
            await tasks.spawn(_send, address, replica, number)
    return list(tasks.results)


async def _send(
    address: Address,
    replica: ServingReplica,
    number: int,
) -> _Stream:
    body = {
        'model': replica.model,
        'messages': [{'role': 'user', 'content': f'bench {number}'}],
        'max_tokens': _TOKENS_PER_REQUEST,
        'stream': True,
    }
    headers = {
        'authorization': 'Bearer demo-budapest',
        'x-replica': replica.id,
        'x-generation': str(replica.generation),
        'x-request-id': str(number),
    }
    stream = _Stream(time.monotonic())
    connection = await HttpConnection.open(address)
    await connection.send(
        Request(
            'POST',
            '/v1/chat/completions',
            headers,
            msgspec.json.encode(body),
        ),
    )
    await connection.read_head()
    while chunk := await connection.read_chunk():
        stream.first_event_at = stream.first_event_at or time.monotonic()
        stream.events += chunk.count(_EVENT_END)
    await connection.close()
    return stream
