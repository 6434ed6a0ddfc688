"""Stores that keep a shorter history than a complete read takes."""

import random
import unittest

import attrs
import curio

from cranecart.exceptions import HistoryLostError
from cranecart.fleet import SourceFollower
from cranecart.ports import Changes, Snapshot

_WATCH_SECONDS = 3.0
_READ_SECONDS = 0.2
# Half of the time, and the reads at the beginning and the end.
_MAX_READING_SECONDS = _WATCH_SECONDS / 2 + 2 * _READ_SECONDS
# With a pause of 0.1 s between two reads, and one read without.
_MAX_FAILING_READS = _WATCH_SECONDS / 0.1 + 2


@attrs.define
class _ForgetfulSource:
    """A source that has never kept the changes since a snapshot."""

    read_seconds: float = 0
    can_be_read: bool = True
    reading_seconds: float = attrs.field(default=0, init=False)
    reads: int = attrs.field(default=0, init=False)

    @property
    def is_receiving_changes(self) -> bool:
        """Return false, as changes never arrive."""
        return False

    async def snapshot(self) -> Snapshot[str]:
        """Read everything, if that is possible."""
        self.reads += 1
        await curio.sleep(self.read_seconds)
        self.reading_seconds += self.read_seconds
        if not self.can_be_read:
            raise HistoryLostError('a change between two pages is lost')
        return Snapshot(self.reads, {'a': str(self.reads)})

    async def changes(self, since: int, wait_seconds: float) -> Changes[str]:
        """Raise an error."""
        raise HistoryLostError('the requested history was discarded')


class LostHistoriesTest(unittest.TestCase):
    """A follower keeps up with the source, but does not read all the time."""

    def test_link_taken_up_by_reading_anew(self) -> None:
        """At most half of the time goes into complete reads."""
        source = _ForgetfulSource(_READ_SECONDS)
        latest = self._follow(source)
        self.assertLessEqual(source.reading_seconds, _MAX_READING_SECONDS)
        self.assertGreaterEqual(int(latest['a']), source.reads - 1)

    def test_reads_that_fail_without_pause(self) -> None:
        """Reads that cannot be completed are not repeated at once."""
        source = _ForgetfulSource(can_be_read=False)
        self._follow(source)
        self.assertLessEqual(source.reads, _MAX_FAILING_READS)

    def _follow(self, source: _ForgetfulSource) -> dict[str, str]:
        latest: dict[str, str] = {}
        follower = SourceFollower(
            'a source',
            source,
            lambda items, _is_complete: latest.update(items),  # type: ignore[arg-type]
            random.Random(1),
        )
        curio.run(_run_for, follower)
        return latest


async def _run_for(follower: SourceFollower[str]) -> None:
    await curio.ignore_after(_WATCH_SECONDS, follower.run)
