"""The readers of one node while the store is unreachable or refuses it.

Of 4,065 calls in a day, 1,269 fell into the ten seconds around an outage of 3.7
s: the readers of the list, the records and the configuration on each node
retried on their own, and so did every node that looked at the placement lease.
"""

import random
from typing import Any
from unittest import TestCase, mock

import curio

from cranecart.clocks import since_boot
from cranecart.fleet import SourceFollower, StoreReachability
from cranecart.grouping import GroupPlacer
from cranecart.serving._followers import _CONFIG_MIN_INTERVAL_SECONDS
from tests.lib.waiting import until
from tests.unit.test_source_follower import FakeSource, ItemRecorder

_READERS = ('list', 'records', 'configuration')


class _NodeReaders:
    """Three readers of one store that may be down."""

    def __init__(self) -> None:
        self.source = FakeSource(items={'a': '1'}, down=True)
        self.reachability = StoreReachability()
        self.held = {name: ItemRecorder() for name in _READERS}
        self.followers = [
            SourceFollower(
                name,
                self.source,
                recorder.take,  # type: ignore[arg-type]
                random.Random(name),
                reachability=self.reachability,
            )
            for name, recorder in self.held.items()
        ]

    async def run(self) -> curio.TaskGroup:
        """Start the readers."""
        tasks = curio.TaskGroup()
        for follower in self.followers:
            await tasks.spawn(follower.run)
        return tasks

    def all_synced(self) -> bool:
        """Return whether each reader has read the store."""
        return all(recorder == {'a': '1'} for recorder in self.held.values())


class VersionBurstTest(TestCase):
    """Configuration versions in quick succession.

    When seven followed each other within six seconds, 78 nodes read the
    configuration 939 times, once after every version.
    """

    def test_a_burst_of_versions_takes_few_reads(self) -> None:
        """The first is read at once, the last soon, with few reads."""
        curio.run(self._publish_burst)

    async def _publish_burst(self) -> None:
        source = FakeSource(items={'a': '0'})
        recorder = ItemRecorder()
        follower = SourceFollower(
            'configuration',
            source,
            recorder.take,  # type: ignore[arg-type]
            random.Random(1),
            _CONFIG_MIN_INTERVAL_SECONDS,
        )
        task = await curio.spawn(follower.run)
        await curio.sleep(1)
        source.put('a', '1')
        await until(lambda: recorder == {'a': '1'}, 0.3)
        before = source.reads
        for number in range(2, 22):
            source.put('a', str(number))
            await curio.sleep(0.05)
        await until(lambda: recorder == {'a': '21'}, 1)
        self.assertLessEqual(source.reads - before, 5)
        await task.cancel()


class StoreReachabilityTest(TestCase):
    """One reader retries; all read soon after the store is reachable again."""

    def test_one_reader_polls_an_unreachable_store(self) -> None:
        """Each reader tries once, then one of them retries."""
        curio.run(self._lose_store)

    def test_one_source_fails_independently(self) -> None:
        """Answers of another source neither stop nor hasten its retries."""
        curio.run(self._fail_one_source)

    def test_others_read_for_this_node(self) -> None:
        """It may retry less often then."""
        self.assertGreater(
            StoreReachability(mock.Mock(return_value=True)).max_retry_seconds,
            StoreReachability().max_retry_seconds,
        )

    def test_lease_is_polled_rarely_while_cut_off(self) -> None:
        """The lease is read rarely until a reader has been answered."""
        lease = mock.Mock(is_held=False, acquire_or_renew=mock.AsyncMock())
        lease.acquire_or_renew.return_value = False
        environment = mock.Mock()
        environment.is_held_elsewhere.return_value = False
        environment.is_store_unreachable.return_value = True
        placer: Any = object.__new__(GroupPlacer)
        placer._ticked_at = float('inf')
        placer.lease = lease
        placer._record_store = mock.Mock()
        placer._environment = environment
        placer._lease_checked_at = since_boot() - 1
        curio.run(placer._keep_lease)
        lease.acquire_or_renew.assert_not_awaited()
        environment.is_store_unreachable.return_value = False
        curio.run(placer._keep_lease)
        lease.acquire_or_renew.assert_awaited_once()
        # A single reader may fail for long although the lease can be read.
        environment.is_store_unreachable.return_value = True
        placer._lease_checked_at = since_boot() - 3.1
        curio.run(placer._keep_lease)
        self.assertEqual(lease.acquire_or_renew.await_count, 2)

    def test_a_failing_feed_is_not_logged_as_crash(self) -> None:
        """Each failure was logged with its traceback as a crashed task."""
        with self.assertNoLogs('curio', 'ERROR'):
            curio.run(self._fail_while_following)

    def test_a_refused_reader_stops_no_others(self) -> None:
        """The other readers keep waiting, as their connections work."""
        curio.run(self._refuse_one_reader)

    async def _refuse_one_reader(self) -> None:
        node = _NodeReaders()
        node.source.down = False
        refused = FakeSource(items={'a': '1'})
        node.followers[0]._source = refused
        node.source.wait_turns = 500
        tasks = await node.run()
        await until(node.all_synced)
        await curio.sleep(0.3)
        reads = node.source.reads
        refused.down = True
        await until(lambda: node.reachability.is_unreachable)
        await curio.sleep(0.3)
        self.assertEqual(node.source.reads, reads)
        await tasks.cancel_remaining()

    async def _fail_while_following(self) -> None:
        node = _NodeReaders()
        node.source.down = False
        tasks = await node.run()
        await until(node.all_synced)
        node.source.down = True
        await until(lambda: node.reachability.is_unreachable)
        await tasks.cancel_remaining()

    async def _lose_store(self) -> None:
        node = _NodeReaders()
        tasks = await node.run()
        await curio.sleep(2.5)
        self.assertTrue(node.reachability.is_unreachable)
        # Pauses of 0.1, 0.2, 0.4, 0.8 and 1 s, each at least half as long.
        self.assertLessEqual(node.source.reads, len(_READERS) + 6)
        node.source.down = False
        await until(node.all_synced, 2)
        self.assertFalse(node.reachability.is_unreachable)
        await tasks.cancel_remaining()

    async def _fail_one_source(self) -> None:
        node = _NodeReaders()
        node.source.down = False
        failing_source = FakeSource(down=True)
        node.followers[0]._source = failing_source
        tasks = await node.run()
        await curio.sleep(2)
        self.assertGreaterEqual(failing_source.reads, 3)
        self.assertLessEqual(failing_source.reads, 9)
        failing_source.down = False
        await until(lambda: node.followers[0].is_informed, 2)
        await tasks.cancel_remaining()
