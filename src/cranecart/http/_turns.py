"""Let other tasks run beside one that reads without ever waiting."""

import attrs
import curio

from cranecart.clocks import since_boot

# Some milliseconds of parsing.
_MAX_STEPS_AT_ONCE = 256


@attrs.define
class ReadingPace:
    """Leaves half of the processor time to others than long readers.

    Requests in many small chunks cost far more time than their size tells. They
    are read one after the other, a turn at a time, and as long as each turn took
    nobody has the next one.
    """

    _free_at: float = attrs.field(default=float('-inf'), init=False)

    def rest_seconds(self, turn_seconds: float) -> float:
        """Return how long a reader waits that has just taken a turn."""
        now = since_boot()
        starts_at = max(now, self._free_at)
        self._free_at = starts_at + 2 * turn_seconds
        return starts_at + turn_seconds - now


@attrs.define
class ReadingTurn:
    """The steps of reading since other tasks were let run.

    Bytes that arrive as fast as they are read never make their reader wait, and
    would starve all other tasks. With a ``pace`` it rests between its turns.
    """

    _pace: ReadingPace | None = None
    _steps: int = attrs.field(default=0, init=False)
    _seconds: float = attrs.field(default=0, init=False)

    @property
    def is_over(self) -> bool:
        """Return whether other tasks are to run before the next step."""
        return self._steps >= _MAX_STEPS_AT_ONCE

    def count_step(self, seconds: float = 0) -> None:
        """Count a step, and the processor time that it took."""
        self._steps += 1
        self._seconds += seconds

    async def end_if_over(self) -> None:
        """Let other tasks run if it is their turn."""
        if not self.is_over:
            return
        rest = (
            0 if self._pace is None else self._pace.rest_seconds(self._seconds)
        )
        self._steps = 0
        self._seconds = 0
        await curio.sleep(rest)
