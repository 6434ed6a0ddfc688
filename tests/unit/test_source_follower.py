"""Followers of one source: by reading, and by what others have read."""

import random
import time
import unittest

import attrs
import curio

from cranecart.exceptions import HistoryLostError, PlatformUnavailableError
from cranecart.fleet import Extent, SourceFollower, SourceUpdate, UpdateSharing
from cranecart.http import Address
from cranecart.mesh import ListNews, decode_mesh_message, encode_mesh_message
from cranecart.ports import Changes, Snapshot, version_in
from tests.lib.fake_engines import listed_instance
from tests.lib.waiting import until


@attrs.define
class FakeSource:
    """A source in memory that can lose its history or be down."""

    version: int = 1
    items: dict[str, str] = attrs.field(factory=dict)
    reads: int = 0
    down: bool = False
    history_lost: bool = False
    wait_turns: int = 20
    _log: list[tuple[int, str, str | None]] = attrs.field(factory=list)

    def put(self, key: str, text: str | None) -> None:
        """Change one item, or take it away."""
        self.version += 1
        self._log.append((self.version, key, text))
        if text is None:
            self.items.pop(key)
        else:
            self.items[key] = text

    async def snapshot(self) -> Snapshot[str]:
        """Read everything."""
        self._count()
        return Snapshot(self.version, dict(self.items))

    async def changes(self, since: int, wait_seconds: float) -> Changes[str]:
        """Wait a little for changes."""
        self._count()
        if self.history_lost:
            self.history_lost = False
            raise HistoryLostError('gone')
        for _turn in range(self.wait_turns):
            found = {key: one for at, key, one in self._log if at > since}
            if found:
                return Changes(self.version, found)
            await curio.sleep(0.01)
        return Changes(self.version, {})

    def _count(self) -> None:
        self.reads += 1
        if self.down:
            raise PlatformUnavailableError('down')


class ItemRecorder(dict[str, str]):
    """What a follower has told."""

    def take(self, items: dict[str, str | None], is_complete: bool) -> None:
        """Take items over."""
        if is_complete:
            self.clear()
        for key, text in items.items():
            if text is None:
                self.pop(key, None)
            else:
                self[key] = text


class Pair:
    """Two followers, the second of which the first may feed."""

    def __init__(self) -> None:
        """Build both; nothing is read yet."""
        self.source = FakeSource(items={'a': '1'})
        self.first = ItemRecorder()
        self.second = ItemRecorder()
        self.feeds = True
        self.loses_news = False
        self.takeover_rank = 0
        self.reader = self._follower(
            self.source,
            self.first,
            UpdateSharing(lambda: None, self._pass_on),
        )
        self.fed = self._follower(
            self.source,
            self.second,
            UpdateSharing(
                self._announced,
                lambda _news: None,
                takeover_rank=lambda: self.takeover_rank,
            ),
        )

    def _follower(
        self,
        source: FakeSource,
        held: ItemRecorder,
        feeding: UpdateSharing[str],
    ) -> SourceFollower[str]:
        return SourceFollower(
            'a source',
            source,
            held.take,  # type: ignore[arg-type]
            random.Random(1),
            0,
            feeding,
        )

    def _announced(self) -> int | None:
        return self.reader.last_change_version if self.feeds else None

    def _pass_on(self, news: SourceUpdate[str]) -> None:
        if not self.loses_news:
            self.fed.apply_update(news)


class FollowerTest(unittest.TestCase):
    """What a follower holds is what its source holds, soon."""

    def test_history_lost(self) -> None:
        """Everything is read anew, and what went meanwhile is gone."""
        curio.run(self._lose_history)

    def test_few_reads_while_the_list_fills(self) -> None:
        """At a start all nodes read, and each read costs."""
        pair = Pair()
        started = time.monotonic()
        curio.run(self._fill, pair)
        # One at once, then one every 0.15 s of however long it took.
        most = 1 + (time.monotonic() - started) / 0.15
        self.assertLessEqual(pair.source.reads, most)
        self.assertEqual(len(pair.first), 61)

    def test_down(self) -> None:
        """An outage forgets nothing, and ends by itself."""
        curio.run(self._outage)

    def test_fed(self) -> None:
        """A node that is fed reads nothing itself."""
        curio.run(self._feed)

    def test_who_is_fed_soon_after_its_start_reads_once(self) -> None:
        """All nodes that started together read on until a relay spoke."""
        curio.run(self._meet_late)

    def test_turns(self) -> None:
        """Of two that lose their feeder only the first reads on."""
        curio.run(self._take_turns)

    def test_lost_news(self) -> None:
        """News that did not come is read."""
        curio.run(self._lose_news)

    def test_feeder_gone(self) -> None:
        """Once nobody feeds it, a node reads for itself at once."""
        curio.run(self._lose_feeder)

    def test_a_whole_reading_is_the_first_of_an_era(self) -> None:
        """Whoever missed the one before keeps what a copy may lack."""
        held = ItemRecorder()
        restored: list[dict[str, str]] = []
        follower = SourceFollower(
            'a source',
            FakeSource(),
            held.take,  # type: ignore[arg-type]
            random.Random(1),
            apply_restored=lambda items: restored.append(dict(items)),
        )
        follower._apply_snapshot(9, {'a': '1'}, Extent.COMPLETE)
        later = version_in(1, 5)
        differences = {'a': None, 'b': '2'}
        follower.apply_update(
            SourceUpdate(9, later, differences, Extent.COMPLETE, 9)
        )
        self.assertEqual(held, {'a': '1'})
        self.assertEqual(restored, [{'b': '2'}])
        follower.apply_update(
            SourceUpdate(later, later, {}, Extent.COMPLETE, later)
        )
        self.assertEqual(held, {'b': '2'})

    def test_differences_after_first_readings_of_other_versions(self) -> None:
        """No change lies between them, so that both know the same."""
        held = ItemRecorder()
        follower = SourceFollower(
            'a source',
            FakeSource(),
            held.take,  # type: ignore[arg-type]
            random.Random(1),
        )
        follower._apply_snapshot(9, {'a': '1'}, Extent.COMPLETE)
        follower.apply_update(
            SourceUpdate(7, 12, {'b': '2'}, Extent.COMPLETE, 10)
        )
        self.assertEqual(held, {'a': '1', 'b': '2'})

    def test_differences_from_something_else(self) -> None:
        """They say nothing to a node that has missed a change before."""
        held = ItemRecorder()
        follower = SourceFollower(
            'a source',
            FakeSource(),
            held.take,  # type: ignore[arg-type]
            random.Random(1),
        )
        follower._apply_snapshot(9, {'a': '1'}, Extent.COMPLETE)
        follower.apply_update(
            SourceUpdate(10, 12, {'b': '2'}, Extent.COMPLETE, 11)
        )
        self.assertEqual(held, {'a': '1'})
        follower.apply_update(
            SourceUpdate(6, 12, {'b': '2'}, Extent.COMPLETE, 8)
        )
        self.assertEqual(held, {'a': '1'})
        follower.apply_update(
            SourceUpdate(9, 12, {'b': '2'}, Extent.COMPLETE, 9)
        )
        self.assertEqual(held, {'a': '1', 'b': '2'})

    def test_news_over_the_wire(self) -> None:
        """Entries of the list survive their way between nodes."""
        instance = listed_instance('i', Address('127.0.0.1', 1))
        message = ListNews('n', SourceUpdate(1, 2, {'i': instance, 'j': None}))
        decoded = decode_mesh_message(encode_mesh_message(message))
        self.assertEqual(decoded, message)

    async def _fill(self, pair: Pair) -> None:
        reading = await curio.spawn(pair.reader.run, daemon=True)
        for number in range(60):
            pair.source.put(f'k{number}', 'new')
            await curio.sleep(0.01)
        await until(lambda: len(pair.first) == len(pair.source.items))
        await reading.cancel()

    async def _lose_history(self) -> None:
        pair = Pair()
        running = await curio.spawn(pair.reader.run)
        await until(lambda: pair.first == {'a': '1'})
        pair.source.items = {'b': '2'}
        pair.source.version += 5
        pair.source.history_lost = True
        await until(lambda: pair.first == {'b': '2'})
        await running.cancel()

    async def _outage(self) -> None:
        pair = Pair()
        running = await curio.spawn(pair.reader.run)
        await until(lambda: bool(pair.first))
        pair.source.down = True
        await curio.sleep(0.3)
        self.assertEqual(pair.first, {'a': '1'})
        pair.source.put('a', '2')
        pair.source.down = False
        await until(lambda: pair.first == {'a': '2'})
        await running.cancel()

    async def _both(self) -> tuple[Pair, list[curio.Task]]:
        pair = Pair()
        tasks = [
            await curio.spawn(pair.reader.run),
            await curio.spawn(pair.fed.run),
        ]
        await until(lambda: pair.first == pair.second == {'a': '1'})
        await curio.sleep(0.3)
        return pair, tasks

    async def _feed(self) -> None:
        pair, tasks = await self._both()
        await tasks[0].cancel()
        before = pair.source.reads
        self.assertLess(before, 8)
        pair.source.put('a', '2')
        news = SourceUpdate(pair.reader.last_change_version, 2, {'a': '2'})
        pair.fed.apply_update(news)
        await curio.sleep(0.2)
        self.assertEqual(pair.second, {'a': '2'})
        self.assertEqual(pair.source.reads, before)
        await tasks[1].cancel()

    async def _meet_late(self) -> None:
        pair = Pair()
        pair.feeds = False
        await pair.reader._read()
        before = pair.source.reads
        running = await curio.spawn(pair.fed.run)
        await curio.sleep(0.3)
        pair.feeds = True
        await curio.sleep(0.6)
        self.assertEqual(pair.source.reads, before + 1)
        await running.cancel()

    async def _take_turns(self) -> None:
        pair, tasks = await self._both()
        pair.takeover_rank = 2
        await tasks[0].cancel()
        before = pair.source.reads
        pair.feeds = False
        await curio.sleep(0.3)
        pair.feeds = True
        await curio.sleep(0.5)
        self.assertEqual(pair.source.reads, before)
        pair.feeds = False
        await until(lambda: pair.source.reads > before, 1)
        await tasks[1].cancel()

    async def _lose_news(self) -> None:
        pair, tasks = await self._both()
        pair.loses_news = True
        pair.source.put('a', '2')
        await until(lambda: pair.second == {'a': '2'})
        for task in tasks:
            await task.cancel()

    async def _lose_feeder(self) -> None:
        pair, tasks = await self._both()
        pair.feeds = False
        await tasks[0].cancel()
        pair.source.put('a', '2')
        await until(lambda: pair.second == {'a': '2'}, 0.5)
        await tasks[1].cancel()
