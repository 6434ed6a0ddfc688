"""Followers of one source that read it or get the updates of another reader."""

import random
import time
import unittest

import attrs
import curio

from cranecart.exceptions import HistoryLostError, PlatformUnavailableError
from cranecart.fleet import Extent, SourceFollower, SourceUpdate, UpdateSharing
from cranecart.http import Address
from cranecart.mesh import ListNews, decode_mesh_message, encode_mesh_message
from cranecart.ports import Changes, Snapshot, make_version
from tests.lib.fake_engines import listed_instance
from tests.lib.waiting import until


@attrs.define
class FakeSource:
    """An in-memory source that can lose its history or be unavailable."""

    version: int = 1
    items: dict[str, str] = attrs.field(factory=dict)
    reads: int = 0
    down: bool = False
    history_lost: bool = False
    wait_turns: int = 20
    _changes: list[tuple[int, str, str | None]] = attrs.field(factory=list)

    def put(self, key: str, text: str | None) -> None:
        """Change or remove one item."""
        self.version += 1
        self._changes.append((self.version, key, text))
        if text is None:
            self.items.pop(key)
        else:
            self.items[key] = text

    @property
    def is_receiving_changes(self) -> bool:
        """Return false, as changes arrive at once."""
        return False

    async def snapshot(self) -> Snapshot[str]:
        """Read everything."""
        self._count_read()
        return Snapshot(self.version, dict(self.items))

    async def changes(self, since: int, wait_seconds: float) -> Changes[str]:
        """Wait a short time for changes."""
        self._count_read()
        if self.history_lost:
            self.history_lost = False
            raise HistoryLostError('the requested history was discarded')
        for _turn in range(self.wait_turns):
            changed = {
                key: text for at, key, text in self._changes if at > since
            }
            if changed:
                return Changes(self.version, changed)
            await curio.sleep(0.01)
        return Changes(self.version, {})

    def _count_read(self) -> None:
        self.reads += 1
        if self.down:
            raise PlatformUnavailableError('the source is down')


class ItemRecorder(dict[str, str]):
    """The items that a follower has passed to its consumer."""

    def take(self, items: dict[str, str | None], is_complete: bool) -> None:
        """Apply items."""
        if is_complete:
            self.clear()
        for key, text in items.items():
            if text is None:
                self.pop(key, None)
            else:
                self[key] = text


class FollowerPair:
    """Two followers, the first of which may share its updates."""

    def __init__(self) -> None:
        """Create both; nothing is read yet."""
        self.source = FakeSource(items={'a': '1'})
        self.first_items = ItemRecorder()
        self.second_items = ItemRecorder()
        self.is_announced = True
        self.loses_updates = False
        self.takeover_rank = 0
        self.reader = self._make_follower(
            self.source,
            self.first_items,
            UpdateSharing(lambda: None, self._publish),
        )
        self.follower = self._make_follower(
            self.source,
            self.second_items,
            UpdateSharing(
                self._announced_version,
                lambda _update: None,
                takeover_rank=lambda: self.takeover_rank,
            ),
        )

    def _make_follower(
        self,
        source: FakeSource,
        recorder: ItemRecorder,
        sharing: UpdateSharing[str],
    ) -> SourceFollower[str]:
        return SourceFollower(
            'a source',
            source,
            recorder.take,  # type: ignore[arg-type]
            random.Random(1),
            0,
            sharing,
        )

    def _announced_version(self) -> int | None:
        return self.reader.last_change_version if self.is_announced else None

    def _publish(self, update: SourceUpdate[str]) -> None:
        if not self.loses_updates:
            self.follower.apply_update(update)


class FollowerTest(unittest.TestCase):
    """A follower converges to the contents of its source."""

    def test_history_lost(self) -> None:
        """A new snapshot is read, and items removed meanwhile are dropped."""
        curio.run(self._lose_history)

    def test_few_reads_while_the_list_grows(self) -> None:
        """The number of reads at startup is limited, as all nodes read."""
        followers = FollowerPair()
        started = time.monotonic()
        curio.run(self._grow_list, followers)
        # One at once, then one every 0.15 s of however long it took.
        max_reads = 1 + (time.monotonic() - started) / 0.15
        self.assertLessEqual(followers.source.reads, max_reads)
        self.assertEqual(len(followers.first_items), 61)

    def test_outage(self) -> None:
        """Items are kept during an outage, and reading resumes after it."""
        curio.run(self._recover_from_outage)

    def test_shared_updates_replace_reads(self) -> None:
        """A node that gets shared updates does not read the source."""
        curio.run(self._share_update)

    def test_one_read_if_a_reader_is_announced_soon_after_the_start(
        self,
    ) -> None:
        """A node reads once and then waits for the announcement.

        Nodes kept reading until a relay announced the shared reader.
        """
        curio.run(self._announce_late)

    def test_only_the_first_in_rank_takes_over(self) -> None:
        """Without an announced reader, nodes with a later rank wait."""
        curio.run(self._lose_reader_twice)

    def test_lost_update_is_read(self) -> None:
        """An announced update that does not arrive is read instead."""
        curio.run(self._lose_update)

    def test_shared_reader_gone(self) -> None:
        """A node reads at once when no shared reader is announced any more."""
        curio.run(self._lose_reader)

    def test_complete_update_is_the_first_of_an_era(self) -> None:
        """A node that missed the restore keeps items the store may lack."""
        recorder = ItemRecorder()
        restored: list[dict[str, str]] = []
        follower = SourceFollower(
            'a source',
            FakeSource(),
            recorder.take,  # type: ignore[arg-type]
            random.Random(1),
            apply_restored=lambda items: restored.append(dict(items)),
        )
        follower._apply_snapshot(9, {'a': '1'}, Extent.COMPLETE)
        later = make_version(1, 5)
        differences = {'a': None, 'b': '2'}
        follower.apply_update(
            SourceUpdate(9, later, differences, Extent.COMPLETE, 9)
        )
        self.assertEqual(recorder, {'a': '1'})
        self.assertEqual(restored, [{'b': '2'}])
        follower.apply_update(
            SourceUpdate(later, later, {}, Extent.COMPLETE, later)
        )
        self.assertEqual(recorder, {'b': '2'})

    def test_differences_after_first_reads_of_other_versions(self) -> None:
        """An update applies if no change lies between the versions read."""
        recorder = ItemRecorder()
        follower = SourceFollower(
            'a source',
            FakeSource(),
            recorder.take,  # type: ignore[arg-type]
            random.Random(1),
        )
        follower._apply_snapshot(9, {'a': '1'}, Extent.COMPLETE)
        follower.apply_update(
            SourceUpdate(7, 12, {'b': '2'}, Extent.COMPLETE, 10)
        )
        self.assertEqual(recorder, {'a': '1', 'b': '2'})

    def test_differences_from_something_else(self) -> None:
        """An update is ignored by a node that has missed an earlier change."""
        recorder = ItemRecorder()
        follower = SourceFollower(
            'a source',
            FakeSource(),
            recorder.take,  # type: ignore[arg-type]
            random.Random(1),
        )
        follower._apply_snapshot(9, {'a': '1'}, Extent.COMPLETE)
        follower.apply_update(
            SourceUpdate(10, 12, {'b': '2'}, Extent.COMPLETE, 11)
        )
        self.assertEqual(recorder, {'a': '1'})
        follower.apply_update(
            SourceUpdate(6, 12, {'b': '2'}, Extent.COMPLETE, 8)
        )
        self.assertEqual(recorder, {'a': '1'})
        follower.apply_update(
            SourceUpdate(9, 12, {'b': '2'}, Extent.COMPLETE, 9)
        )
        self.assertEqual(recorder, {'a': '1', 'b': '2'})

    def test_update_survives_encoding(self) -> None:
        """List entries are equal after encoding and decoding."""
        instance = listed_instance('i', Address('127.0.0.1', 1))
        message = ListNews('n', SourceUpdate(1, 2, {'i': instance, 'j': None}))
        decoded = decode_mesh_message(encode_mesh_message(message))
        self.assertEqual(decoded, message)

    async def _grow_list(self, followers: FollowerPair) -> None:
        reading = await curio.spawn(followers.reader.run, daemon=True)
        for number in range(60):
            followers.source.put(f'k{number}', 'new')
            await curio.sleep(0.01)
        await until(
            lambda: len(followers.first_items) == len(followers.source.items)
        )
        await reading.cancel()

    async def _lose_history(self) -> None:
        followers = FollowerPair()
        running = await curio.spawn(followers.reader.run)
        await until(lambda: followers.first_items == {'a': '1'})
        followers.source.items = {'b': '2'}
        followers.source.version += 5
        followers.source.history_lost = True
        await until(lambda: followers.first_items == {'b': '2'})
        await running.cancel()

    async def _recover_from_outage(self) -> None:
        followers = FollowerPair()
        running = await curio.spawn(followers.reader.run)
        await until(lambda: bool(followers.first_items))
        followers.source.down = True
        await curio.sleep(0.3)
        self.assertEqual(followers.first_items, {'a': '1'})
        followers.source.put('a', '2')
        followers.source.down = False
        await until(lambda: followers.first_items == {'a': '2'})
        await running.cancel()

    async def _start_both(self) -> tuple[FollowerPair, list[curio.Task]]:
        followers = FollowerPair()
        tasks = [
            await curio.spawn(followers.reader.run),
            await curio.spawn(followers.follower.run),
        ]
        await until(
            lambda: (
                followers.first_items == followers.second_items == {'a': '1'}
            )
        )
        await curio.sleep(0.3)
        return followers, tasks

    async def _share_update(self) -> None:
        followers, tasks = await self._start_both()
        await tasks[0].cancel()
        before = followers.source.reads
        self.assertLess(before, 8)
        followers.source.put('a', '2')
        update = SourceUpdate(
            followers.reader.last_change_version, 2, {'a': '2'}
        )
        followers.follower.apply_update(update)
        await curio.sleep(0.2)
        self.assertEqual(followers.second_items, {'a': '2'})
        self.assertEqual(followers.source.reads, before)
        await tasks[1].cancel()

    async def _announce_late(self) -> None:
        followers = FollowerPair()
        followers.is_announced = False
        await followers.reader._read()
        before = followers.source.reads
        running = await curio.spawn(followers.follower.run)
        await curio.sleep(0.3)
        followers.is_announced = True
        await curio.sleep(0.6)
        self.assertEqual(followers.source.reads, before + 1)
        await running.cancel()

    async def _lose_reader_twice(self) -> None:
        followers, tasks = await self._start_both()
        followers.takeover_rank = 2
        await tasks[0].cancel()
        before = followers.source.reads
        followers.is_announced = False
        await curio.sleep(0.3)
        followers.is_announced = True
        await curio.sleep(0.5)
        self.assertEqual(followers.source.reads, before)
        followers.is_announced = False
        await until(lambda: followers.source.reads > before, 1)
        await tasks[1].cancel()

    async def _lose_update(self) -> None:
        followers, tasks = await self._start_both()
        followers.loses_updates = True
        followers.source.put('a', '2')
        await until(lambda: followers.second_items == {'a': '2'})
        for task in tasks:
            await task.cancel()

    async def _lose_reader(self) -> None:
        followers, tasks = await self._start_both()
        followers.is_announced = False
        await tasks[0].cancel()
        followers.source.put('a', '2')
        await until(lambda: followers.second_items == {'a': '2'}, 0.5)
        await tasks[1].cancel()
