"""Handle the signals that stop a process or reload its settings."""

import contextlib
import signal
import socket
from collections.abc import AsyncGenerator, Callable, Mapping
from typing import Any

import curio

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_ALL_SIGNALS = (*_STOP_SIGNALS, signal.SIGHUP)


class StopSignal:
    """Waits for a signal to stop the process.

    ``has_come`` is whether there was one.
    """

    def __init__(
        self,
        reader: curio.io.Socket,
        on_hang_up: Callable[[], None] | None,
    ) -> None:
        """Wrap the socket to which signal numbers are written."""
        self._reader = reader
        self._on_hang_up = on_hang_up
        self.has_come = False

    async def wait(self) -> None:
        """Return on the first stop signal.

        Until then, call the handler, if any, on each SIGHUP.
        """
        while True:
            received = await self._reader.recv(1)
            number = received[0]
            if number in _STOP_SIGNALS:
                self.has_come = True
                return
            if number == signal.SIGHUP and self._on_hang_up is not None:
                self._on_hang_up()


@contextlib.asynccontextmanager
async def stop_signal(
    on_hang_up: Callable[[], None] | None = None,
) -> AsyncGenerator[StopSignal, None]:
    """Handle the stop signals while the context lasts.

    With ``on_hang_up``, SIGHUP calls it instead of ending the process. The
    interpreter's handler writes the number of each signal to a socket, so the
    event loop only reads from it. Once a stop signal has come, all of them are
    ignored to the end of the process: another one would end it before its last
    responses and log lines.
    """
    reader, writer = socket.socketpair()
    reader.setblocking(False)
    writer.setblocking(False)
    handled = _STOP_SIGNALS if on_hang_up is None else _ALL_SIGNALS
    # Once nobody reads them, further signals fill the socket.
    previous_fd = signal.set_wakeup_fd(
        writer.fileno(), warn_on_full_buffer=False
    )
    handlers = {
        number: signal.signal(number, lambda _number, _frame: None)
        for number in handled
    }
    stop = StopSignal(curio.io.Socket(reader), on_hang_up)
    try:
        yield stop
    finally:
        _restore(
            dict.fromkeys(handlers, signal.SIG_IGN)
            if stop.has_come
            else handlers,
            previous_fd,
        )
        _close(reader, writer)


def raise_first_error(tasks: curio.TaskGroup) -> None:
    """Raise the exception of the first task to finish, if any."""
    error = tasks.exception
    if error is not None:
        raise error


def _restore(handlers: Mapping[signal.Signals, Any], previous_fd: int) -> None:
    for number, handler in handlers.items():
        signal.signal(number, handler)
    signal.set_wakeup_fd(previous_fd)


def _close(*sockets: socket.socket) -> None:
    for sock in sockets:
        sock.close()
