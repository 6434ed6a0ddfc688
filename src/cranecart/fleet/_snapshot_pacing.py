"""Limit how often a source is read completely while its history is lost."""

from collections.abc import Callable
from typing import Generic, TypeVar

import attrs

from cranecart.clocks import since_boot
from cranecart.ports import Snapshot, Source

Item = TypeVar('Item')

_MIN_PAUSE_SECONDS = 0.1


@attrs.define
class SnapshotPacing(Generic[Item]):
    """Reads snapshots, and tells how long to wait before the next one.

    A store may keep a shorter history than a snapshot takes to read. Reading
    without pause would then take up a slow link.
    """

    _source: Source[Item]
    _clock: Callable[[], float] = since_boot
    _snapshots_without_changes: int = attrs.field(default=0, init=False)
    _read_seconds: float = attrs.field(default=0, init=False)

    @property
    def pause_seconds(self) -> float:
        """Return for how long to wait after the history was lost.

        Not after the first snapshot, as a history is rarely lost twice. Later
        on, reading takes up at most half of the time.
        """
        if self._snapshots_without_changes <= 1:
            return 0
        return max(_MIN_PAUSE_SECONDS, self._read_seconds)

    async def read(self) -> Snapshot[Item]:
        """Read the source completely."""
        self._snapshots_without_changes += 1
        started = self._clock()
        try:
            return await self._source.snapshot()
        finally:
            self._read_seconds = self._clock() - started

    def record_changes(self) -> None:
        """Record that the changes after a snapshot could be read."""
        self._snapshots_without_changes = 0
