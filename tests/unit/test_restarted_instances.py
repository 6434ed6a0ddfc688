"""An instance starts again under its id: two lives, told apart by birth.

An instance was killed and came back before its entry lapsed. The entry showed a
member that belongs to nothing, so that its replica ended by the way for one that
left; what was learned of the dead process was held against the new one, found
lost it stayed so for six seconds, and members of a head that had died waited
4.3 s for its end though the same list showed that the head lived anew.
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
_FIRST = 1000
_SECOND = 2000
_NAMES = ('i0', 'i1')
# Less than a heartbeat and a half of a late write, more than two and a half.
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


class FleetLivesTest(unittest.TestCase):
    """A replica of two, one of which starts again, on a test's clock."""

    def setUp(self) -> None:
        """List both members, and record the replica."""
        self.now = 50.0
        self.fleet = Fleet(InstanceList(IncarnationTracker(lambda: self.now)))
        self._list(_entry('i0', _FIRST), _entry('i1', _FIRST))
        record = ReplicaRecord(
            'r-1', 1, SERVICE, BIG.name, 'east', 'east-0', _NAMES,
            births=(_FIRST, _FIRST),
        )  # fmt: skip
        self.fleet.apply_records({record.key: record}, True)
        self.assertEqual(len(self._heads()), 1)

    def test_back_within_the_lapse(self) -> None:
        """Its replica has lost a member, and it has no model any more."""
        self._list(_entry('i1', _SECOND, is_member=False))
        self.assertEqual(self._heads(), ())
        self.assertTrue(self.fleet.is_stopped(('r-1', 1)))
        self.assertEqual(self.fleet.instances['i1'].loaded, ())

    def test_back_after_the_lapse(self) -> None:
        """What is known of the old life does not come back with it."""
        self.fleet.apply_instances({'i1': None}, False)
        self._list(_entry('i1', _SECOND, is_member=False))
        self.assertTrue(self.fleet.is_stopped(('r-1', 1)))
        self.assertNotIn('i1', self.fleet.lapsed)

    def test_the_head_is_back(self) -> None:
        """Streams leave its old life at once, whatever it showed last."""
        self._list(_entry('i0', _SECOND, is_member=False))
        self.assertEqual(self._heads(), ())
        self.assertTrue(self.fleet.is_stopped(('r-1', 1)))

    def test_an_old_beat_comes_after(self) -> None:
        """A late write of the old life is no third one."""
        self._list(_entry('i1', _SECOND, is_member=False))
        self._list(_entry('i1', _FIRST))
        self.assertEqual(self.fleet.instances['i1'].born, _SECOND)
        self.assertEqual(self._heads(), ())

    def test_an_old_beat_of_a_life_never_seen(self) -> None:
        """It changes nothing before it has stood for two heartbeats."""
        self._list(_entry('i1', _FIRST // 2, is_member=False))
        self.now += _SHORT_SECONDS
        self.fleet.process_timeouts()
        self.assertEqual(len(self._heads()), 1)
        self._list(_entry('i1', _FIRST))
        self.now += _LONG_SECONDS
        self.fleet.process_timeouts()
        self.assertEqual(len(self._heads()), 1)

    def test_a_clock_behind(self) -> None:
        """A new life with an earlier birth is believed once it has stood."""
        self._list(_entry('i1', _FIRST // 2, is_member=False))
        self.now += _LONG_SECONDS
        self.fleet.process_timeouts()
        self.assertEqual(self.fleet.instances['i1'].born, _FIRST // 2)
        self.assertEqual(self._heads(), ())
        self._list(_entry('i1', _FIRST))
        self.assertEqual(self.fleet.instances['i1'].born, _FIRST // 2)

    def test_a_birth_that_went_back_ends_no_wait(self) -> None:
        """Whether the old life is over is only likely then."""
        record = next(iter(self.fleet.records.values()))
        self._list(_entry('i0', _FIRST // 2, is_member=False))
        self.now += _LONG_SECONDS
        self.fleet.process_timeouts()
        self.assertTrue(
            self.fleet.instance_list.is_superseded(record.incarnations[0])
        )
        self.assertFalse(
            self.fleet.instance_list.has_ended(record.incarnations[0])
        )

    def test_without_births(self) -> None:
        """Entries that tell none go on as one life."""
        self._list(_entry('i1', 0))
        self.assertEqual(len(self._heads()), 1)
        self.assertEqual(self.fleet.instances['i1'].born, _FIRST)

    def test_found_lost_and_back(self) -> None:
        """What was found of the old life is not held against the new one."""
        failure_detector = FailureDetector(self.fleet, _ignore)
        failure_detector.report_lost('i1', 'a test says so')
        self.assertEqual(failure_detector.lost_instances(), {'i1'})
        self._list(_entry('i1', _SECOND, is_member=False))
        self.assertEqual(failure_detector.lost_instances(), set())

    def _list(self, *entries: ListedInstance) -> None:
        items = {entry.id: entry for entry in entries}
        self.fleet.apply_instances(items, False)

    def _heads(self) -> tuple[ServingHead, ...]:
        return self.fleet.heads(SERVICE, BIG.name)


class PlacerLivesTest(unittest.TestCase):
    """A placer whose instances start again under their ids."""

    def setUp(self) -> None:
        """Build a world whose instances tell their births."""
        self.testbed = PlacerTestbed()
        self.addCleanup(self.testbed.listener.close)
        fleet = self.testbed.fleet
        fleet.apply_instances(
            {
                name: attrs.evolve(one, born=_FIRST)
                for name, one in fleet.instances.items()
            },
            True,
        )

    def test_a_head_that_lives_anew(self) -> None:
        """Its members are free at once, not after the stall."""
        seconds = curio.run(self._back, 0)
        self.assertLess(seconds, self.testbed.engines.stall_seconds)
        self.assertEqual(self.testbed.engines.violations, [])

    def test_a_member_that_lives_anew(self) -> None:
        """The head leaves, and the others form with the same instance."""
        seconds = curio.run(self._back, 2)
        self.assertLess(seconds, self.testbed.engines.stall_seconds)
        self.assertEqual(self.testbed.engines.violations, [])

    def test_back_while_joining(self) -> None:
        """A replica that still forms is formed anew with the new life."""
        self.testbed.engines.unreachable.add('i2')
        curio.run(self._back_while_joining)
        self.assertEqual(self.testbed.engines.violations, [])

    def test_a_dead_head_is_not_asked_on_and_on(self) -> None:
        """One was ordered to leave each half second until its end."""
        curio.run(self._dead_head)
        leaves = [
            name
            for order, name in self.testbed.engines.orders
            if order == 'leave' and name in self.testbed.engines.unreachable
        ]
        self.assertLessEqual(len(leaves), 1)

    def test_a_dark_replica_is_not_asked_member_by_member(self) -> None:
        """Each took 0.4 s of silence, fifteen of them six seconds a round."""
        curio.run(self._dark_replica)
        asked = [
            name
            for order, name in self.testbed.engines.orders
            if order == 'leave' and name in self.testbed.engines.unreachable
        ]
        self.assertLessEqual(len(asked), 2)

    async def _back(self, rank: int) -> float:
        testbed = self.testbed
        running = await curio.spawn(testbed.placer.run)
        await until(lambda: len(testbed.heads()) == 2)
        big = testbed.fleet.heads(SERVICE, BIG.name)[0]
        await curio.sleep(0.2)
        started = time.monotonic()
        self._start_again(big.members[rank])
        await until(lambda: self._is_replaced(big))
        await running.cancel()
        return time.monotonic() - started

    async def _back_while_joining(self) -> None:
        testbed = self.testbed
        running = await curio.spawn(testbed.placer.run)
        await until(lambda: self._naming('i2'))
        old = self._naming('i2')[0]
        self._start_again('i2')
        await until(lambda: old.key not in testbed.fleet.records)
        await until(lambda: len(testbed.heads()) == 2)
        await running.cancel()

    async def _dead_head(self) -> None:
        testbed = self.testbed
        running = await curio.spawn(testbed.placer.run)
        await until(lambda: len(testbed.heads()) == 2)
        big = testbed.fleet.heads(SERVICE, BIG.name)[0]
        testbed.lose(big.id)
        await until(lambda: self._is_replaced(big))
        await running.cancel()

    async def _dark_replica(self) -> None:
        testbed = self.testbed
        running = await curio.spawn(testbed.placer.run)
        await until(lambda: len(testbed.heads()) == 2)
        big = testbed.fleet.heads(SERVICE, BIG.name)[0]
        for name in big.members:
            testbed.lose(name)
        await curio.sleep(1)
        await running.cancel()

    def _naming(self, name: str) -> list[ReplicaRecord]:
        records = self.testbed.fleet.records.values()
        return [record for record in records if name in record.members]

    def _start_again(self, name: str) -> None:
        engines = self.testbed.engines
        engines.unreachable.discard(name)
        engines.restart(name, _SECOND)

    def _is_replaced(self, old: ServingHead) -> bool:
        heads = self.testbed.fleet.heads(SERVICE, BIG.name)
        states = {one.state for one in self.testbed.fleet.records.values()}
        return (
            bool(heads)
            and heads[0].replica_epoch != old.replica_epoch
            and states == {RecordState.SERVING}
        )


class LearnedTest(unittest.TestCase):
    """What a node has learned of a life."""

    def test_failures_and_silence(self) -> None:
        """They are the old life's; the new one is used like any other."""
        testbed = GatewayTestbed(_never, _never)
        old = attrs.evolve(
            testbed.fleet.instances[testbed.targets[0].name],
            born=_FIRST,
        )
        testbed.fleet.apply_instances({old.id: old}, False)
        testbed.router.record_failure(old.incarnation, reached=False)
        self.assertEqual(_chosen(testbed), {testbed.targets[1].name})
        new = attrs.evolve(old, born=_SECOND)
        testbed.fleet.apply_instances({new.id: new}, False)
        self.assertEqual(_chosen(testbed), {old.id, testbed.targets[1].name})

    def test_connections(self) -> None:
        """Nothing is sent on what was open to the old life."""
        connections = TargetConnectionPool()
        old = listed_instance('i0', _ADDRESS)
        connections.mark_unreliable(old)
        new = attrs.evolve(old, born=_SECOND)
        self.assertTrue(connections._is_unreliable(old))
        self.assertFalse(connections._is_unreliable(new))


def _chosen(testbed: GatewayTestbed) -> set[str]:
    return {testbed.router.choose(_WANTED).instance.id for _ in range(30)}


async def _never(_exchange: Exchange) -> None:
    """Stand for a target that is never asked."""


async def _ignore(_record: ReplicaRecord) -> None:
    """Stand for whoever is told of a replica."""
