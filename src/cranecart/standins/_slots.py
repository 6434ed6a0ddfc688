"""Batch slots of an engine, allocated by priority."""

import heapq
import itertools
from collections.abc import Iterator

import attrs
import curio


@attrs.define
class Slots:
    """A semaphore of ``size`` slots with a priority queue of waiters."""

    size: int
    running: int = 0
    _waiting: list[tuple[int, int, curio.Event]] = attrs.field(factory=list)
    _sequence: Iterator[int] = attrs.field(factory=itertools.count)

    @property
    def queued(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    async def acquire(self, rank: int) -> None:
        """Wait for a slot; lower ranks are served first."""
        if self.running < self.size:
            self.running += 1
            return
        granted = curio.Event()
        waiter = (rank, next(self._sequence), granted)
        heapq.heappush(self._waiting, waiter)
        try:
            await granted.wait()
        except curio.CancelledError:
            await self._cancel_wait(waiter)
            raise

    async def release(self) -> None:
        """Pass the slot to the first waiter, or free it."""
        if self._waiting:
            _rank, _number, granted = heapq.heappop(self._waiting)
            await granted.set()
        else:
            self.running -= 1

    async def _cancel_wait(self, waiter: tuple[int, int, curio.Event]) -> None:
        if waiter in self._waiting:
            self._waiting.remove(waiter)
            heapq.heapify(self._waiting)
        else:
            await self.release()
