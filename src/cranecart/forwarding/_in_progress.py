"""The requests that a gateway handles, which the end of the process cuts off."""

import contextlib
from collections.abc import AsyncGenerator

import attrs
import curio

from cranecart.clocks import since_boot
from cranecart.forwarding._stop_gate import StopGate

# How long requests that were cut off may take to end.
_MAX_END_SECONDS = 0.2
_POLL_SECONDS = 0.01


@attrs.define
class RequestsInProgress:
    """The tasks that handle requests now.

    ``are_cut_off`` is whether the process ends before they have, ``stop_gate``
    decides which are taken before it does.
    """

    stop_gate: StopGate = attrs.field(factory=StopGate, init=False)
    are_cut_off: bool = attrs.field(default=False, init=False)
    _tasks: set[curio.Task] = attrs.field(factory=set, init=False)

    @property
    def count(self) -> int:
        """Return the number of requests."""
        return len(self._tasks)

    @contextlib.asynccontextmanager
    async def track(self) -> AsyncGenerator[None, None]:
        """Count the current task as one that handles a request."""
        task = await curio.current_task()
        self._tasks.add(task)
        try:
            yield
        finally:
            self._tasks.discard(task)

    async def cut_off(self) -> None:
        """Cancel all of them; wait until they have ended, but not for long."""
        self.are_cut_off = True
        for task in tuple(self._tasks):
            await task.cancel(blocking=False)
        deadline = since_boot() + _MAX_END_SECONDS
        while self._tasks and since_boot() < deadline:
            await curio.sleep(_POLL_SECONDS)
