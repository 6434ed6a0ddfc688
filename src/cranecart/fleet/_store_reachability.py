"""Whether a node reaches the store; one of its readers finds out for all.

While the store is away, or turns this node away, one reader asks and the others
wait for it, as calls that are refused cost as much as others.
"""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import attrs
import curio

from cranecart.clocks import since_boot
from cranecart.exceptions import PlatformError, ReadRenewedError

Answer = TypeVar('Answer')

# Readers that wait for the one that asks look so often, and ask for themselves
# if it has found nothing out for so long.
_LOOK_SECONDS = 0.1
_STANDBY_SECONDS = 5.0
# With the spread of pauses, the store's return is found within a second.
_LONGEST_PAUSE_SECONDS = 0.7
# Where others reach the store, they tell this node what they read.
_FED_PAUSE_SECONDS = 3.0


@attrs.define
class StoreReachability:
    """A node's way to the store; ``is_fed`` tells whether others read it."""

    _is_fed: Callable[[], bool] = attrs.field(default=bool)
    _asking: str = attrs.field(default='', init=False)
    _renewed: curio.Event = attrs.field(factory=curio.Event, init=False)

    @property
    def is_unreachable(self) -> bool:
        """Tell whether the last that was heard of the store is a failure."""
        return bool(self._asking)

    @property
    def max_retry_seconds(self) -> float:
        """Return the most seconds between two tries of the one that asks."""
        return _FED_PAUSE_SECONDS if self._is_fed() else _LONGEST_PAUSE_SECONDS

    def find(self) -> None:
        """Take over that the store has answered."""
        self._asking = ''

    async def renew(self) -> None:
        """Have all readers ask anew that wait for an answer.

        A connection that falls silent does not end, so that one which waits for
        long would hear nothing for as long.
        """
        renewed = self._renewed
        self._renewed = curio.Event()
        await renewed.set()

    async def ask(
        self,
        call: Callable[[int, float], Awaitable[Answer]],
        since: int,
        seconds: float,
    ) -> Answer:
        """Wait for a source's changes; raise ``ReadRenewedError``."""
        async with curio.TaskGroup(wait=any) as tasks:
            asked = await tasks.spawn(_ask, call, since, seconds)
            await tasks.spawn(self._renewed.wait)
        if tasks.completed is not asked:
            raise ReadRenewedError('this node has to ask anew')
        answer: Answer | PlatformError = asked.result
        if isinstance(answer, PlatformError):
            raise answer
        return answer

    async def wait(self, reader: str, pause: float) -> None:
        """Wait after a failure, until a reader should ask again."""
        if not self._asking:
            self._asking = reader
        if self._asking == reader:
            await self._pause(pause)
            return
        waited = 0
        while self._asking and waited * _LOOK_SECONDS < _STANDBY_SECONDS:
            await curio.sleep(_LOOK_SECONDS)
            waited += 1

    async def _pause(self, seconds: float) -> None:
        """Wait, but no longer once another node is found to reach the store."""
        was_fed = self._is_fed()
        until = since_boot() + seconds
        left = seconds
        while left > 0 and (was_fed or not self._is_fed()):
            await curio.sleep(min(left, _LOOK_SECONDS))
            left = until - since_boot()


async def _ask(
    call: Callable[[int, float], Awaitable[Answer]],
    since: int,
    seconds: float,
) -> Answer | PlatformError:
    """Return an error instead of raising it, as a task that raises is logged."""
    try:
        return await call(since, seconds)
    except PlatformError as error:
        return error
