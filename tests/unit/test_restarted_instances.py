"""Instances that restart under their id differ by their start time.

An instance that is killed may restart before its entry lapses. If nodes compare
only ids, its replica is shut down as if the member had left in order, failures
of the old process count against the new one, a loss that was detected stays in
effect for six seconds, and the members of a dead head wait 4.3 s for its end
although the list shows that the head has restarted.
"""

import time
import unittest

import attrs
import curio

from cranecart.fleet import Fleet, RecordState, ReplicaRecord, ServingHead
from cranecart.fleet._incarnations import IncarnationTracker
from cranecart.fleet._instance_list import InstanceList
from cranecart.forwarding import TargetConnectionPool
from cranecart.grouping._failure_detector import FailureDetector
from cranecart.http import Address
from cranecart.ports import ListedInstance, MemberPhase, Membership
from cranecart.routing import RoutingRequest
from tests.lib.fake_engines import BIG, SERVICE, listed_instance
from tests.lib.fake_targets import (
    CONFIG,
    ENGINES,
    MODEL,
    Exchange,
    GatewayTestbed,
)
from tests.lib.waiting import until
from tests.unit.test_grouping import PlacerTestbed

_ADDRESS = Address('127.0.0.1', 9)
_FIRST_START = 1000
_SECOND_START = 2000
_NAMES = ('i0', 'i1')
# Less and more than two and a half heartbeats after a delayed write.
_SHORT_SECONDS = 2.0
_LONG_SECONDS = 3.2
_WANTED = RoutingRequest(CONFIG, CONFIG.routes[0], ENGINES, MODEL, 500, 5)


def _entry(name: str, born: int, *, is_member: bool = True) -> ListedInstance:
    phase = MemberPhase.OPEN if name == 'i0' else MemberPhase.READY
    return attrs.evolve(
        listed_instance(name, _ADDRESS),
        born=born,
        loaded=(BIG.name,) if is_member else (),
        membership=Membership('r-1', 1, _NAMES.index(name), phase)
        if is_member
        else None,
    )


class FleetRestartTest(unittest.TestCase):
    """A replica of two members, one of which restarts, on a simulated clock."""

    def setUp(self) -> None:
        """List both members and record the replica."""
        self.now = 50.0
        self.fleet = Fleet(InstanceList(IncarnationTracker(lambda: self.now)))
        self._apply_entries(
            _entry('i0', _FIRST_START), _entry('i1', _FIRST_START)
        )
        record = ReplicaRecord(
            'r-1', 1, SERVICE, BIG.name, 'east', 'east-0', _NAMES,
            births=(_FIRST_START, _FIRST_START),
        )  # fmt: skip
        self.fleet.apply_records({record.key: record}, True)
        self.assertEqual(len(self._heads()), 1)

    def test_restart_before_the_entry_lapses(self) -> None:
        """Its replica has lost a member, and it has no model loaded any more."""
        self._apply_entries(_entry('i1', _SECOND_START, is_member=False))
        self.assertEqual(self._heads(), ())
        self.assertTrue(self.fleet.is_stopped(('r-1', 1)))
        self.assertEqual(self.fleet.instances['i1'].loaded, ())

    def test_restart_after_the_entry_lapsed(self) -> None:
        """The state of the old incarnation is not applied to the new one."""
        self.fleet.apply_instances({'i1': None}, False)
        self._apply_entries(_entry('i1', _SECOND_START, is_member=False))
        self.assertTrue(self.fleet.is_stopped(('r-1', 1)))
        self.assertNotIn('i1', self.fleet.lapsed)

    def test_head_restarts(self) -> None:
        """Streams leave the old head at once, whatever its last entry showed."""
        self._apply_entries(_entry('i0', _SECOND_START, is_member=False))
        self.assertEqual(self._heads(), ())
        self.assertTrue(self.fleet.is_stopped(('r-1', 1)))

    def test_delayed_write_of_the_old_incarnation(self) -> None:
        """A delayed write of the old incarnation is not taken for a new one."""
        self._apply_entries(_entry('i1', _SECOND_START, is_member=False))
        self._apply_entries(_entry('i1', _FIRST_START))
        self.assertEqual(self.fleet.instances['i1'].born, _SECOND_START)
        self.assertEqual(self._heads(), ())

    def test_delayed_write_of_an_unknown_incarnation(self) -> None:
        """The entry has no effect until it is unchanged for two heartbeats."""
        self._apply_entries(_entry('i1', _FIRST_START // 2, is_member=False))
        self.now += _SHORT_SECONDS
        self.fleet.process_timeouts()
        self.assertEqual(len(self._heads()), 1)
        self._apply_entries(_entry('i1', _FIRST_START))
        self.now += _LONG_SECONDS
        self.fleet.process_timeouts()
        self.assertEqual(len(self._heads()), 1)

    def test_restart_with_a_clock_set_back(self) -> None:
        """An earlier start time is accepted once its entry stays unchanged."""
        self._apply_entries(_entry('i1', _FIRST_START // 2, is_member=False))
        self.now += _LONG_SECONDS
        self.fleet.process_timeouts()
        self.assertEqual(self.fleet.instances['i1'].born, _FIRST_START // 2)
        self.assertEqual(self._heads(), ())
        self._apply_entries(_entry('i1', _FIRST_START))
        self.assertEqual(self.fleet.instances['i1'].born, _FIRST_START // 2)

    def test_earlier_start_time_does_not_prove_an_end(self) -> None:
        """The end of the old incarnation is then only likely."""
        record = next(iter(self.fleet.records.values()))
        self._apply_entries(_entry('i0', _FIRST_START // 2, is_member=False))
        self.now += _LONG_SECONDS
        self.fleet.process_timeouts()
        self.assertTrue(
            self.fleet.instance_list.is_superseded(record.incarnations[0])
        )
        self.assertFalse(
            self.fleet.instance_list.has_ended(record.incarnations[0])
        )

    def test_entries_without_start_times(self) -> None:
        """Entries without a start time count as the same incarnation."""
        self._apply_entries(_entry('i1', 0))
        self.assertEqual(len(self._heads()), 1)
        self.assertEqual(self.fleet.instances['i1'].born, _FIRST_START)

    def test_restart_of_a_lost_instance(self) -> None:
        """A loss of the old incarnation does not apply to the new one."""
        failure_detector = FailureDetector(self.fleet, _ignore)
        failure_detector.report_lost('i1', 'a test says so')
        self.assertEqual(failure_detector.lost_instances(), {'i1'})
        self._apply_entries(_entry('i1', _SECOND_START, is_member=False))
        self.assertEqual(failure_detector.lost_instances(), set())

    def _apply_entries(self, *entries: ListedInstance) -> None:
        items = {entry.id: entry for entry in entries}
        self.fleet.apply_instances(items, False)

    def _heads(self) -> tuple[ServingHead, ...]:
        return self.fleet.heads(SERVICE, BIG.name)


class PlacerRestartTest(unittest.TestCase):
    """A placer whose instances restart under their ids."""

    def setUp(self) -> None:
        """Create a testbed whose instances report their start times."""
        self.testbed = PlacerTestbed()
        self.addCleanup(self.testbed.listener.close)
        fleet = self.testbed.fleet
        fleet.apply_instances(
            {
                name: attrs.evolve(instance, born=_FIRST_START)
                for name, instance in fleet.instances.items()
            },
            True,
        )

    def test_head_restart_frees_the_members(self) -> None:
        """Its members are released at once, not after the stall timeout."""
        seconds = curio.run(self._restart_member, 0)
        self.assertLess(seconds, self.testbed.engines.stall_seconds)
        self.assertEqual(self.testbed.engines.violations, [])

    def test_member_restart_recreates_the_replica(self) -> None:
        """The head leaves, and the others join again with the same instance."""
        seconds = curio.run(self._restart_member, 2)
        self.assertLess(seconds, self.testbed.engines.stall_seconds)
        self.assertEqual(self.testbed.engines.violations, [])

    def test_restart_while_joining(self) -> None:
        """A replica that was still joining is recreated with the new incarnation."""
        self.testbed.engines.unreachable.add('i2')
        curio.run(self._restart_while_joining)
        self.assertEqual(self.testbed.engines.violations, [])

    def test_dead_head_is_not_ordered_repeatedly(self) -> None:
        """It gets one order to leave, not one every half second."""
        curio.run(self._lose_head)
        leaves = [
            name
            for order, name in self.testbed.engines.orders
            if order == 'leave' and name in self.testbed.engines.unreachable
        ]
        self.assertLessEqual(len(leaves), 1)

    def test_dead_replica_is_not_ordered_member_by_member(self) -> None:
        """At most two members get an order to leave.

        Each order timed out after 0.4 s, so 15 members took 6 s per round.
        """
        curio.run(self._lose_all_members)
        ordered = [
            name
            for order, name in self.testbed.engines.orders
            if order == 'leave' and name in self.testbed.engines.unreachable
        ]
        self.assertLessEqual(len(ordered), 2)

    async def _restart_member(self, rank: int) -> float:
        testbed = self.testbed
        running = await curio.spawn(testbed.placer.run)
        await until(lambda: len(testbed.heads()) == 2)
        big = testbed.fleet.heads(SERVICE, BIG.name)[0]
        await curio.sleep(0.2)
        started = time.monotonic()
        self._restart(big.members[rank])
        await until(lambda: self._is_replaced(big))
        await running.cancel()
        return time.monotonic() - started

    async def _restart_while_joining(self) -> None:
        testbed = self.testbed
        running = await curio.spawn(testbed.placer.run)
        await until(lambda: self._records_with('i2'))
        old = self._records_with('i2')[0]
        self._restart('i2')
        await until(lambda: old.key not in testbed.fleet.records)
        await until(lambda: len(testbed.heads()) == 2)
        await running.cancel()

    async def _lose_head(self) -> None:
        testbed = self.testbed
        running = await curio.spawn(testbed.placer.run)
        await until(lambda: len(testbed.heads()) == 2)
        big = testbed.fleet.heads(SERVICE, BIG.name)[0]
        testbed.lose(big.id)
        await until(lambda: self._is_replaced(big))
        await running.cancel()

    async def _lose_all_members(self) -> None:
        testbed = self.testbed
        running = await curio.spawn(testbed.placer.run)
        await until(lambda: len(testbed.heads()) == 2)
        big = testbed.fleet.heads(SERVICE, BIG.name)[0]
        for name in big.members:
            testbed.lose(name)
        await curio.sleep(1)
        await running.cancel()

    def _records_with(self, name: str) -> list[ReplicaRecord]:
        records = self.testbed.fleet.records.values()
        return [record for record in records if name in record.members]

    def _restart(self, name: str) -> None:
        engines = self.testbed.engines
        engines.unreachable.discard(name)
        engines.restart(name, _SECOND_START)

    def _is_replaced(self, old: ServingHead) -> bool:
        heads = self.testbed.fleet.heads(SERVICE, BIG.name)
        states = {
            record.state for record in self.testbed.fleet.records.values()
        }
        return (
            bool(heads)
            and heads[0].replica_epoch != old.replica_epoch
            and states == {RecordState.SERVING}
        )


class LearnedStateTest(unittest.TestCase):
    """The state that a node keeps for an incarnation."""

    def test_failures_and_silence(self) -> None:
        """Failures are those of the old incarnation; the new one is used normally."""
        testbed = GatewayTestbed(_never, _never)
        old = attrs.evolve(
            testbed.fleet.instances[testbed.targets[0].name],
            born=_FIRST_START,
        )
        testbed.fleet.apply_instances({old.id: old}, False)
        testbed.router.record_failure(old.incarnation, reached=False)
        self.assertEqual(_chosen(testbed), {testbed.targets[1].name})
        new = attrs.evolve(old, born=_SECOND_START)
        testbed.fleet.apply_instances({new.id: new}, False)
        self.assertEqual(_chosen(testbed), {old.id, testbed.targets[1].name})

    def test_connections(self) -> None:
        """Connections to the old incarnation are not used for the new one."""
        connections = TargetConnectionPool()
        old = listed_instance('i0', _ADDRESS)
        connections.mark_unreliable(old)
        new = attrs.evolve(old, born=_SECOND_START)
        self.assertTrue(connections._is_unreliable(old))
        self.assertFalse(connections._is_unreliable(new))


def _chosen(testbed: GatewayTestbed) -> set[str]:
    return {testbed.router.choose(_WANTED).instance.id for _ in range(30)}


async def _never(_exchange: Exchange) -> None:
    """Stand in for a target that is never called."""


async def _ignore(_record: ReplicaRecord) -> None:
    """Ignore a notification about a replica."""
