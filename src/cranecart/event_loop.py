"""Run a program's main coroutine and end all tasks that it leaves."""

import logging
import selectors
from collections.abc import Awaitable, Callable
from typing import Any

import curio

_LOG = logging.getLogger(__name__)
# Each round ends the tasks that the round before has left behind.
_MAX_SHUTDOWN_ROUNDS = 20


class ArrivalsFirstSelector(selectors.EpollSelector):
    """Finds what has arrived before the timers that are due.

    A process that is stopped while it waits is only told that its time is over
    once it goes on. Without another look all timeouts would expire although
    the answers that they wait for have arrived.
    """

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready within the timeout in seconds."""
        ready = super().select(timeout)
        if ready or not timeout:
            return ready
        return super().select(0)


def run_until_complete(main: Callable[..., Awaitable[Any]], *args: Any) -> Any:
    """Run a coroutine, then cancel its tasks; return the coroutine's result.

    ``curio.run`` fails if a task starts another one while it is cancelled, and
    a server's tasks do so whenever a connection ends.
    """
    kernel = curio.Kernel(selector=ArrivalsFirstSelector())
    try:
        return kernel.run(main, *args)
    finally:
        _shut_down(kernel)


def _shut_down(kernel: curio.Kernel) -> None:
    for _ in range(_MAX_SHUTDOWN_ROUNDS):
        try:
            kernel.run(shutdown=True)
        except AssertionError:
            # Raised by the kernel where tasks are left.
            continue
        return
    _LOG.warning('tasks go on after %d shutdowns', _MAX_SHUTDOWN_ROUNDS)
