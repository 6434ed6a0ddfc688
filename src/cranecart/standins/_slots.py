"""Slots of an engine's batch, given out by priority."""

import heapq
import itertools
from collections.abc import Iterator

import attrs
import curio


@attrs.define
class Slots:
    """So many requests run at once; others wait by priority."""

    size: int
    running: int = 0
    _waiting: list[tuple[int, int, curio.Event]] = attrs.field(factory=list)
    _numbers: Iterator[int] = attrs.field(factory=itertools.count)

    @property
    def queued(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting)

    async def acquire(self, rank: int) -> None:
        """Wait for a slot; lower ranks go first."""
        if self.running < self.size:
            self.running += 1
            return
        turn = curio.Event()
        entry = (rank, next(self._numbers), turn)
        heapq.heappush(self._waiting, entry)
        try:
            await turn.wait()
        except curio.CancelledError:
            await self._give_up(entry)
            raise

    async def release(self) -> None:
        """Hand the slot to the next in turn."""
        if self._waiting:
            _rank, _number, turn = heapq.heappop(self._waiting)
            await turn.set()
        else:
            self.running -= 1

    async def _give_up(self, entry: tuple[int, int, curio.Event]) -> None:
        if entry in self._waiting:
            self._waiting.remove(entry)
            heapq.heapify(self._waiting)
        else:
            await self.release()
