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

from cranecart.listening import ADDRESS_VARIABLE

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
    with tempfile.TemporaryDirectory() as folder:
        client, ready = _free_port(), _free_port()
        file = Path(folder) / 'node.json'
        file.write_text(json.dumps(_settings(client, ready)))
        with _running(file, client) as process:
            started = time.monotonic()
            _wait_for(client, asks=False)
            listening = time.monotonic() - started
            listening_cpu = _cpu_ms(process.pid)
            _wait_for(ready, asks=True)
            return StartCost(
                listening * _MILLISECONDS,
                listening_cpu,
                (time.monotonic() - started) * _MILLISECONDS,
                _cpu_ms(process.pid),
            )


@contextlib.contextmanager
def _running(
    file: Path, client: int
) -> Generator['subprocess.Popen[bytes]', None, None]:
    variables = {
        **os.environ,
        ADDRESS_VARIABLE: f'127.0.0.1:{client}',
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


def _settings(client: int, ready: int) -> dict[str, str]:
    other = f'127.0.0.1:{_free_port()}'
    return {
        'node_id': 'n',
        'failure_domain': 'east',
        'client_address': f'127.0.0.1:{client}',
        'ready_address': f'127.0.0.1:{ready}',
        'peer_address': f'127.0.0.1:{_free_port()}',
        'metrics_address': f'127.0.0.1:{_free_port()}',
        'platform_address': other,
    }


def _free_port() -> int:
    with socket.create_server(('127.0.0.1', 0)) as sock:
        port: int = sock.getsockname()[1]
        return port


def _wait_for(port: int, *, asks: bool) -> None:
    """Return once a port takes a connection, and answers if asked."""
    ends = time.monotonic() + _SECONDS
    while time.monotonic() < ends:
        with contextlib.suppress(OSError):
            with socket.create_connection(('127.0.0.1', port), 1) as sock:
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
