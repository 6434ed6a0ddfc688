"""Wait for the signals that ask a process to stop."""

import contextlib
import signal
import socket
from collections.abc import AsyncGenerator, Mapping
from typing import Any

import curio

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopSignal:
    """Becomes true once the process was asked to stop."""

    def __init__(self, reader: curio.io.Socket) -> None:
        """Wrap the end of the pipe that signals write to."""
        self._reader = reader

    async def wait(self) -> None:
        """Return when the first stop signal has come."""
        await self._reader.recv(1)


@contextlib.asynccontextmanager
async def stop_signal() -> AsyncGenerator[StopSignal, None]:
    """Take over the stop signals while the context lasts.

    The interpreter's own handler writes each signal to a socket, so that
    nothing but a read of it runs in the event loop.
    """
    reader, writer = socket.socketpair()
    reader.setblocking(False)
    writer.setblocking(False)
    earlier = signal.set_wakeup_fd(writer.fileno())
    handlers = {
        number: signal.signal(number, lambda _number, _frame: None)
        for number in _STOP_SIGNALS
    }
    try:
        yield StopSignal(curio.io.Socket(reader))
    finally:
        _restore(handlers, earlier)
        _close(reader, writer)


def raise_first_error(tasks: curio.TaskGroup) -> None:
    """Raise what the first task to end ended with, if with an error."""
    error = tasks.exception
    if error is not None:
        raise error


def _restore(handlers: Mapping[signal.Signals, Any], earlier: int) -> None:
    for number, handler in handlers.items():
        signal.signal(number, handler)
    signal.set_wakeup_fd(earlier)


def _close(*sockets: socket.socket) -> None:
    for sock in sockets:
        sock.close()
