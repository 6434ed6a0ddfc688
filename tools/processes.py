"""Child processes of a local run and the addresses for them."""

import os
import signal
import socket
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Self

import attrs

from cranecart.http import Address

_STOP_SECONDS = 15.0
_HOSTS_PER_OCTET = 250


def loopback_host() -> str:
    """Return a loopback address that differs between processes.

    A port assigned by the kernel is free until its process binds it. With a
    separate address, connections of other tests cannot take it meanwhile.
    """
    high, low = divmod(os.getpid(), _HOSTS_PER_OCTET)
    return f'127.{1 + high % _HOSTS_PER_OCTET}.{1 + low}.1'


class Addresses:
    """Allocates unique addresses with ports assigned by the kernel.

    A port stays bound, without listening, until the run ends: otherwise the
    kernel could assign it again before its process binds it. Both sockets allow
    address reuse, so the process can still bind the port.
    """

    def __init__(self) -> None:
        """Start without allocated addresses."""
        self._host = loopback_host()
        self._reserved: list[socket.socket] = []

    def take(self) -> Address:
        """Allocate an unused address."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((self._host, 0))
        self._reserved.append(sock)
        return Address(*sock.getsockname())

    def release(self) -> None:
        """Release all addresses."""
        for sock in self._reserved:
            sock.close()


@attrs.define
class Process:
    """A child process of a run."""

    name: str
    arguments: Sequence[str]
    log: Path
    popen: subprocess.Popen[bytes]

    @classmethod
    def start(cls, name: str, arguments: Sequence[str], log: Path) -> Self:
        """Start ``cranecart`` with arguments; its output goes to a file."""
        with log.open('ab') as output:
            popen = subprocess.Popen(
                [sys.executable, '-m', 'cranecart', *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        return cls(name, arguments, log, popen)

    def kill(self) -> None:
        """Kill the process."""
        self.popen.kill()
        self.popen.wait()

    def pause(self) -> None:
        """Suspend the process."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process."""
        self.popen.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Send the process SIGTERM."""
        self.popen.terminate()

    def wait(self, seconds: float = _STOP_SECONDS) -> int:
        """Wait for the process to exit and return the exit code."""
        return self.popen.wait(seconds)
