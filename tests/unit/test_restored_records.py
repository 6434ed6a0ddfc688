"""Placers after the table has been restored from a copy."""

from collections.abc import Awaitable, Callable
from unittest import TestCase, mock

import attrs
import curio

from cranecart.exceptions import PlatformUnavailableError
from cranecart.fleet import (
    Fleet,
    RecordState,
    record_from_row,
    records_prefix,
)
from cranecart.grouping._transitions import required_transition
from cranecart.models import RouteConfig
from cranecart.ports import MemberPhase
from tests.lib.fake_engines import DOMAIN, PROFILE, SERVICE
from tests.lib.fake_platform import FakePlatform
from tests.lib.waiting import until
from tests.unit.test_grouping import PlacerTestbed

_TARGET_SECONDS = 1.0
_WATCH_SECONDS = 1.5
# Time to wait for the list, and then for the head without a member to break.
_END_SECONDS = 8.0


class RestoredRecordsTest(TestCase):
    """Serving replicas continue, and stopped ones do not start again."""

    def setUp(self) -> None:
        """Build a testbed with replicas to be formed."""
        self.testbed = PlacerTestbed()
        self.addCleanup(self.testbed.listener.close)

    def test_missing_records_are_written_again(self) -> None:
        """The placer restores the records of serving replicas."""
        self._run_scenario(self._lose_records)
        self.assertEqual(self._recorded(), self._serving())

    def test_a_successor_rewrites_missing_records(self) -> None:
        """It has read the records before the restore and keeps the replicas."""
        self._run_scenario(self._replace_placer)
        self.assertEqual(self._recorded(), self._serving())

    def test_resurrected_records_are_deleted(self) -> None:
        """No orders are sent to the members of these replicas."""
        self._run_scenario(self._resurrect_records)

    def test_ending_replica_restored_as_serving_ends(self) -> None:
        """The restored record does not undo the end."""
        self._run_scenario(self._restore_while_ending)

    def test_an_orphaned_replica_is_adopted(self) -> None:
        """All nodes are new, and the copy lacks its record."""
        self._run_scenario(self._restart_all_nodes)
        self.assertEqual(self._serving(), self.initial_replicas)
        self.assertEqual(self._recorded(), self.initial_replicas)

    def test_an_incomplete_orphan_is_ended(self) -> None:
        """Its members join nothing before its head has left."""
        self._run_scenario(self._restart_without_one_member)
        self.assertEqual(len(self._serving()), 2)
        self.assertEqual(self._recorded(), self._serving())

    def test_a_closing_replica_is_not_reopened(self) -> None:
        """A new node reads a copy that shows it as serving."""
        self._run_scenario(self._close_head)

    def test_nothing_is_ordered_before_the_rows_are_read(self) -> None:
        """A placer with the lease may fail to read the earlier rows."""
        curio.run(self._fail_to_read)
        self.assertEqual(self.testbed.engines.orders, [])

    def test_other_nodes_keep_records_a_copy_lacks(self) -> None:
        """Nodes without the lease do not drop the records."""
        self._run_scenario(self._read_whole)
        self.assertEqual(self._serving(), self.initial_replicas)

    def _run_scenario(self, scenario: Callable[[], Awaitable[None]]) -> None:
        curio.run(self._run_after_forming, scenario)
        self.assertEqual(self.testbed.engines.violations, [])

    async def _run_after_forming(
        self, scenario: Callable[[], Awaitable[None]]
    ) -> None:
        self.empty_table = self.testbed.table.snapshot_rows()
        self.running = await curio.spawn(self.testbed.placer.run)
        await until(lambda: len(self.testbed.heads()) == 2)
        self.initial_replicas = {head.replica for head in self.testbed.heads()}
        await scenario()
        await self.running.cancel()

    async def _lose_records(self) -> None:
        orders = self._orders()
        self.testbed.table.restore(self.empty_table)
        await until(
            lambda: self._recorded() == self.initial_replicas, _TARGET_SECONDS
        )
        await curio.sleep(_WATCH_SECONDS)
        self.assertEqual(self._serving(), self.initial_replicas)
        self.assertEqual(self._orders(), orders)

    async def _replace_placer(self) -> None:
        await self.running.cancel()
        orders = self._orders()
        self.testbed.table.restore(self.empty_table)
        placer = self.testbed.make_placer('two')
        self.running = await curio.spawn(placer.run)
        await until(lambda: self._recorded() == self.initial_replicas)
        await curio.sleep(_WATCH_SECONDS)
        self.assertEqual(self._serving(), self.initial_replicas)
        self.assertEqual(self._orders(), orders)

    async def _resurrect_records(self) -> None:
        testbed = self.testbed
        earlier = testbed.table.snapshot_rows()
        lost = testbed.heads()[0]
        testbed.lose(lost.members[1])
        await until(lambda: lost.replica not in self._recorded())
        await until(lambda: len(testbed.heads()) == 2)
        serving = self._serving()
        testbed.table.restore(earlier)
        await until(lambda: self._recorded() == serving, _TARGET_SECONDS)
        await curio.sleep(_WATCH_SECONDS)
        self.assertEqual(self._serving(), serving)

    async def _restore_while_ending(self) -> None:
        testbed = self.testbed
        earlier = testbed.table.snapshot_rows()
        testbed.engines.work_seconds = 1
        head = testbed.heads()[0]
        leaving_member = attrs.evolve(
            testbed.fleet.instances[head.members[1]],
            leaving=True,
        )
        testbed.fleet.apply_instances(
            {leaving_member.id: leaving_member}, False
        )
        await until(lambda: head.replica not in self._recorded())
        testbed.table.restore(earlier)
        await until(lambda: head.replica not in self._recorded())
        await curio.sleep(_WATCH_SECONDS)
        self.assertNotIn(head.replica, self._serving())

    async def _restart_all_nodes(self) -> None:
        orders = self._orders()
        await self._restart()
        await until(lambda: self._serving() == self.initial_replicas)
        await curio.sleep(_WATCH_SECONDS)
        self.assertEqual(self._orders(), orders)

    async def _restart_without_one_member(self) -> None:
        testbed = self.testbed
        excluded = testbed.heads()[0].members[1]
        await self._restart(excluded)
        await until(lambda: len(self._serving()) == 2, _END_SECONDS)
        await curio.sleep(_WATCH_SECONDS)

    async def _close_head(self) -> None:
        await self.running.cancel()
        testbed = self.testbed
        head = testbed.fleet.instances[testbed.heads()[0].id]
        record = next(
            iter(testbed.fleet.replica_records.records_with_member(head.id))
        )
        assert head.membership is not None
        closing = attrs.evolve(head.membership, phase=MemberPhase.CLOSING)
        testbed.fleet.apply_instances(
            {head.id: attrs.evolve(head, membership=closing)},
            False,
        )
        config = RouteConfig(1, (), {SERVICE: PROFILE})
        transition = required_transition(record, testbed.fleet, (), config)
        assert transition is not None
        self.assertIs(transition.state, RecordState.CLOSING)

    async def _restart(self, *excluded: str) -> None:
        """Start another node that has read only the instance list."""
        await self.running.cancel()
        testbed = self.testbed
        testbed.has_traffic = True
        testbed.table.restore(self.empty_table)
        listed_instances = {
            name: instance
            for name, instance in testbed.fleet.instances.items()
            if name not in excluded
        }
        testbed.fleet = Fleet()
        testbed.fleet.apply_instances(listed_instances, True)
        testbed.engines.fleet = testbed.fleet
        self.running = await curio.spawn(testbed.make_placer('two').run)

    async def _fail_to_read(self) -> None:
        testbed = self.testbed
        failing_read = mock.AsyncMock(
            side_effect=PlatformUnavailableError('busy')
        )
        with mock.patch.object(FakePlatform, 'read_prefix', failing_read):
            running = await curio.spawn(testbed.placer.run)
            await until(lambda: testbed.placer.lease.is_held)
            await curio.sleep(_WATCH_SECONDS)
            await running.cancel()
        # No more often than five times a second.
        self.assertLessEqual(failing_read.await_count, 5 * _WATCH_SECONDS + 2)

    async def _read_whole(self) -> None:
        await self.running.cancel()
        self.testbed.table.restore(self.empty_table)
        self.testbed.fleet.apply_records({}, True, self.testbed.table.era)

    def _orders(self) -> int:
        """Return how many orders to members were sent."""
        member_ids = {
            name for head in self.testbed.heads() for name in head.members
        }
        return sum(
            1
            for order, name in self.testbed.engines.orders
            if name in member_ids and order != 'stage'
        )

    def _serving(self) -> set[str]:
        return {head.replica for head in self.testbed.heads()}

    def _recorded(self) -> set[str]:
        prefix = records_prefix(DOMAIN)
        read = [
            record_from_row(row)
            for key, row in self.testbed.table.rows.items()
            if key.startswith(prefix)
        ]
        return {
            record.name
            for record in read
            if record is not None and record.state is RecordState.SERVING
        }
