"""Judge how long the node that reads a source for all has been silent.

Its silence is measured by the clock of ``UpdateSharing``, which leaves out the
time in which this process did not run.
"""

from collections.abc import Callable
from typing import TypeVar

import attrs
import curio

from cranecart.fleet._updates import UpdateSharing

Item = TypeVar('Item')

# How often a node checks what others have announced. Heartbeats are less
# frequent, and each check wakes up an idle node.
CHECK_INTERVAL_SECONDS = 0.1


@attrs.define
class ConditionTimer:
    """For how long a condition has held without interruption."""

    _clock: Callable[[], float]
    _since: float | None = attrs.field(default=None, init=False)

    def seconds(self, *, holds: bool) -> float:
        """Return for how long it has held by now; 0 if it does not hold."""
        if not holds:
            self._since = None
            return 0
        now = self._clock()
        if self._since is None:
            self._since = now
        return now - self._since


async def await_shared_reader(
    sharing: UpdateSharing[Item], seconds: float
) -> None:
    """Wait up to ``seconds`` for another node to announce that it reads."""
    until = sharing.clock() + seconds
    while sharing.announced_version() is None and sharing.clock() < until:
        await curio.sleep(CHECK_INTERVAL_SECONDS)
