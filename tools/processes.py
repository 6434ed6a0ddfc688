"""Child processes of a local run, and the addresses they get."""

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
_HOSTS = 250


def loopback_host() -> str:
    """Return a loopback address that differs between processes.

    Ports that the kernel gave are free again until they are bound for good;
    on an address of its own, no other test's connections can take them.
    """
    high, low = divmod(os.getpid(), _HOSTS)
    return f'127.{1 + high % _HOSTS}.{1 + low}.1'


class Addresses:
    """Addresses with ports that the kernel gave, each given out once.

    A port is held, bound but not listened on, until the run ends: a port
    that is merely asked for may be given to somebody else before its process
    binds it. Both sides allow reuse, so the holder is not in the way.
    """

    def __init__(self) -> None:
        """Start with no address given out."""
        self._host = loopback_host()
        self._held: list[socket.socket] = []

    def take(self) -> Address:
        """Return an address that nobody else has."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((self._host, 0))
        self._held.append(sock)
        return Address(*sock.getsockname())

    def release(self) -> None:
        """Give all addresses back."""
        for sock in self._held:
            sock.close()


@attrs.define
class Process:
    """One child process of a run."""

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
        """End the process at once."""
        self.popen.kill()
        self.popen.wait()

    def pause(self) -> None:
        """Stop the process where it is."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process go on."""
        self.popen.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask the process to stop."""
        self.popen.terminate()

    def wait(self, seconds: float = _STOP_SECONDS) -> int:
        """Wait for the end and return the exit code."""
        return self.popen.wait(seconds)
