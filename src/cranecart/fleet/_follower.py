"""Follow a source: read it whole once, then by its changes."""

import random
import time
from collections.abc import Callable, Mapping
from typing import Generic, TypeVar

import attrs
import curio

from cranecart.exceptions import HistoryLostError, PlatformUnavailableError
from cranecart.logs import decision
from cranecart.ports import Source

Item = TypeVar('Item')

# A longer wait saves calls; this one bounds how long a dead path goes
# unnoticed where the kernel does not tell.
_WAIT_SECONDS = 15.0
_FIRST_PAUSE_SECONDS = 0.1
_LONGEST_PAUSE_SECONDS = 1.0
_JITTER = 0.5

# Takes items by key, ``None`` for one that is gone, and whether the items
# are everything that there is.
Taker = Callable[[Mapping[str, Item | None], bool], None]


@attrs.define
class SourceFollower(Generic[Item]):
    """Keeps a taker up to date with one source.

    ``gap_seconds`` is the least time between two reads, so that changes in
    quick succession come together.
    """

    name: str
    _source: Source[Item]
    _take: Taker[Item]
    _random: random.Random
    gap_seconds: float = 0
    _version: int = attrs.field(default=-1, init=False)
    _pause: float = attrs.field(default=_FIRST_PAUSE_SECONDS, init=False)
    _is_lost: bool = attrs.field(default=False, init=False)

    @property
    def is_informed(self) -> bool:
        """Tell whether the source was read at least once."""
        return self._version >= 0

    @property
    def is_in_touch(self) -> bool:
        """Tell whether the last read succeeded."""
        return self.is_informed and not self._is_lost

    async def run(self) -> None:
        """Follow until cancelled."""
        is_whole = False
        while True:
            started = time.monotonic()
            try:
                is_whole = await self._read(is_whole)
            except HistoryLostError as error:
                is_whole = False
                decision('history_lost', source=self.name, why=str(error))
            except PlatformUnavailableError as error:
                await self._wait_after(error)
                continue
            self._note_success()
            rest = self.gap_seconds - (time.monotonic() - started)
            if rest > 0:
                await curio.sleep(rest)

    async def _read(self, is_whole: bool) -> bool:
        if is_whole:
            changes = await self._source.changes(self._version, _WAIT_SECONDS)
            self._version = max(self._version, changes.version)
            if changes.items:
                self._take(changes.items, False)
            return True
        snapshot = await self._source.snapshot()
        if snapshot.version < self._version:
            raise PlatformUnavailableError('the store answers with the past')
        self._version = snapshot.version
        self._take(snapshot.items, True)
        return True

    async def _wait_after(self, error: PlatformUnavailableError) -> None:
        if not self._is_lost:
            self._is_lost = True
            decision('source_lost', source=self.name, why=str(error))
        spread = 1 + self._random.uniform(-_JITTER, _JITTER)
        await curio.sleep(self._pause * spread)
        self._pause = min(_LONGEST_PAUSE_SECONDS, self._pause * 2)

    def _note_success(self) -> None:
        if self._is_lost:
            decision('source_back', source=self.name, version=self._version)
        self._is_lost = False
        self._pause = _FIRST_PAUSE_SECONDS
