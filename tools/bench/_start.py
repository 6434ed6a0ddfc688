"""Startup time of a node until it listens and until it responds.

The program runs as on the users' platform, with precompiled bytecode; no
platform listens at its address. Processor time is read from the process while
it starts; on a fraction of a core, startup takes proportionally longer.
"""

import contextlib
import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Generator
from pathlib import Path

import attrs

from cranecart.http import Address
from cranecart.listening import ADDRESS_VARIABLE
from tools.processes import Addresses

_REPETITIONS = 5
_TIMEOUT_SECONDS = 20.0
_POLL_SECONDS = 0.002
_NANOSECONDS = 1e9
_MILLISECONDS = 1000
_ROOT = Path(__file__).parent.parent.parent
_READ_BYTES = 4096


@attrs.frozen
class StartCost:
    """Wall-clock and processor time from process start, in milliseconds.

    ``listening`` is when a client connection is accepted, ``up`` when a health
    check gets a response, so that all modules are loaded.
    """

    listening_ms: float
    listening_cpu_ms: float
    up_ms: float
    up_cpu_ms: float


def measure() -> dict[str, float]:
    """Return the times of the start with the median processor time, in ms."""
    _compile_bytecode()
    costs = sorted(
        (_measure_start() for _repetition in range(_REPETITIONS)),
        key=lambda cost: cost.up_cpu_ms,
    )
    return attrs.asdict(costs[_REPETITIONS // 2])


def _compile_bytecode() -> None:
    source = _ROOT / 'src' / 'cranecart'
    subprocess.run(
        (sys.executable, '-m', 'compileall', '-q', str(source)),
        check=True,
    )


def _measure_start() -> StartCost:
    addresses = Addresses()
    with tempfile.TemporaryDirectory() as folder:
        client_address, ready_address = addresses.take(), addresses.take()
        file = Path(folder) / 'node.json'
        file.write_text(
            json.dumps(_settings(addresses, client_address, ready_address))
        )
        with _run_node(file, client_address) as process:
            started = time.monotonic()
            _wait_for(client_address, expects_response=False)
            listening = time.monotonic() - started
            listening_cpu = _cpu_ms(process.pid)
            _wait_for(ready_address, expects_response=True)
            addresses.release()
            return StartCost(
                listening * _MILLISECONDS,
                listening_cpu,
                (time.monotonic() - started) * _MILLISECONDS,
                _cpu_ms(process.pid),
            )


@contextlib.contextmanager
def _run_node(
    file: Path, client_address: Address
) -> Generator['subprocess.Popen[bytes]', None, None]:
    variables = {
        **os.environ,
        ADDRESS_VARIABLE: str(client_address),
        'PYTHONPATH': os.pathsep.join(sys.path[1:]),
    }
    command = (sys.executable, '-S', '-m', 'cranecart', 'serve', str(file))
    process = subprocess.Popen(
        command,
        cwd=_ROOT,
        stdout=subprocess.DEVNULL,
        env=variables,
    )
    try:
        yield process
    finally:
        process.kill()
        process.wait()


def _settings(
    addresses: Addresses,
    client_address: Address,
    ready_address: Address,
) -> dict[str, str]:
    return {
        'node_id': 'n',
        'failure_domain': 'east',
        'client_address': str(client_address),
        'ready_address': str(ready_address),
        'peer_address': str(addresses.take()),
        'metrics_address': str(addresses.take()),
        'platform_address': str(addresses.take()),
    }


def _wait_for(address: Address, *, expects_response: bool) -> None:
    """Wait until an address accepts connections and, if expected, responds."""
    deadline = time.monotonic() + _TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError):
            with socket.create_connection(
                (address.host, address.port), 1
            ) as sock:
                if expects_response:
                    sock.sendall(b'GET / HTTP/1.1\r\nhost: x\r\n\r\n')
                    sock.recv(_READ_BYTES)
                return
        time.sleep(_POLL_SECONDS)
    raise TimeoutError('no response from the node within the time limit')


def _cpu_ms(process: int) -> float:
    """Return the processor time used by all threads of a process."""
    tasks = Path(f'/proc/{process}/task').glob('*/schedstat')
    spent = sum(int(task.read_text().split()[0]) for task in tasks)
    return spent / _NANOSECONDS * _MILLISECONDS
