"""Let other tasks run beside one that reads without ever waiting."""

import attrs
import curio

# Some milliseconds of parsing.
_MAX_STEPS_AT_ONCE = 256


@attrs.define
class ReadingTurn:
    """The steps of reading since other tasks were let run.

    Bytes that arrive as fast as they are read never make their reader wait, and
    would starve all other tasks.
    """

    _steps: int = attrs.field(default=0, init=False)

    @property
    def is_over(self) -> bool:
        """Return whether other tasks are to run before the next step."""
        return self._steps >= _MAX_STEPS_AT_ONCE

    def count_step(self) -> None:
        """Count a step."""
        self._steps += 1

    async def end_if_over(self) -> None:
        """Let other tasks run if it is their turn."""
        if self.is_over:
            self._steps = 0
            await curio.sleep(0)
