"""How long a node needs until it listens, and until it is ready.

The program runs as on the users' platform, with bytecode made beforehand,
against a stand-in of their store. Processor time is that of the process, read
while it starts; a machine with a part of a core needs as much more time.
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

_PLAYS = 5
_SECONDS = 20.0
_LOOK_SECONDS = 0.002
_NANOSECONDS = 1e9
_MILLISECONDS = 1000
_ROOT = Path(__file__).parent.parent.parent
_READ_BYTES = 4096


@attrs.frozen
class StartCost:
    """Milliseconds from the start of a process, on a clock and a processor.

    ``listening`` is when a client's connection is taken, ``up`` when its
    balancer gets an answer, so that everything is loaded.
    """

    listening_ms: float
    listening_cpu_ms: float
    up_ms: float
    up_cpu_ms: float


def measure() -> dict[str, float]:
    """Return the medians of some starts."""
    _make_bytecode()
    costs = sorted(
        (_start() for _play in range(_PLAYS)),
        key=lambda cost: cost.up_cpu_ms,
    )
    return attrs.asdict(costs[_PLAYS // 2])


def _make_bytecode() -> None:
    source = _ROOT / 'src' / 'cranecart'
    subprocess.run(
        (sys.executable, '-m', 'compileall', '-q', str(source)),
        check=True,
    )


def _start() -> StartCost:
    addresses = Addresses()
    with tempfile.TemporaryDirectory() as folder:
        client, ready = addresses.take(), addresses.take()
        file = Path(folder) / 'node.json'
        file.write_text(json.dumps(_settings(addresses, client, ready)))
        with _running(file, client) as process:
            started = time.monotonic()
            _wait_for(client, asks=False)
            listening = time.monotonic() - started
            listening_cpu = _cpu_ms(process.pid)
            _wait_for(ready, asks=True)
            addresses.release()
            return StartCost(
                listening * _MILLISECONDS,
                listening_cpu,
                (time.monotonic() - started) * _MILLISECONDS,
                _cpu_ms(process.pid),
            )


@contextlib.contextmanager
def _running(
    file: Path, client: Address
) -> Generator['subprocess.Popen[bytes]', None, None]:
    variables = {
        **os.environ,
        ADDRESS_VARIABLE: str(client),
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
    client: Address,
    ready: Address,
) -> dict[str, str]:
    return {
        'node_id': 'n',
        'failure_domain': 'east',
        'client_address': str(client),
        'ready_address': str(ready),
        'peer_address': str(addresses.take()),
        'metrics_address': str(addresses.take()),
        'platform_address': str(addresses.take()),
    }


def _wait_for(address: Address, *, asks: bool) -> None:
    """Return once an address takes a connection, and answers if asked."""
    ends = time.monotonic() + _SECONDS
    while time.monotonic() < ends:
        with contextlib.suppress(OSError):
            with socket.create_connection(
                (address.host, address.port), 1
            ) as sock:
                if asks:
                    sock.sendall(b'GET / HTTP/1.1\r\nhost: x\r\n\r\n')
                    sock.recv(_READ_BYTES)
                return
        time.sleep(_LOOK_SECONDS)
    raise TimeoutError('nobody listens')


def _cpu_ms(process: int) -> float:
    """Return the processor time of a process and its threads so far."""
    tasks = Path(f'/proc/{process}/task').glob('*/schedstat')
    spent = sum(int(task.read_text().split()[0]) for task in tasks)
    return spent / _NANOSECONDS * _MILLISECONDS
