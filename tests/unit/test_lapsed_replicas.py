"""Placers that start while the members of a replica are not listed.

Members that are cut off from the store go on serving, but their entries lapse.
A placer that starts meanwhile knows them from the record of the replica only.
"""

from collections.abc import Awaitable, Callable, Iterable, Sequence
from contextlib import AbstractContextManager
from unittest import TestCase, mock

import attrs
import curio

from cranecart.fleet import Fleet, ServingHead
from cranecart.grouping import _teardown
from cranecart.grouping._orphans import OrphanedReplicas
from cranecart.http import Address
from cranecart.ports import MemberPhase, Membership
from tests.lib.fake_engines import DOMAIN, listed_instance
from tests.lib.waiting import until
from tests.unit.test_grouping import PlacerTestbed

_STALL_SECONDS = 0.4
# For how long the members stay away after the next placer has the lease; longer
# than a head without a member takes to break.
_CUT_SECONDS = 1.0
_RETURN_INTERVAL_SECONDS = 0.3
# Until members that have returned form replicas again.
_RECOVERY_SECONDS = 6.0
# Stands in for the time after which members are taken to be gone for good.
_SHORT_ABSENCE_SECONDS = 0.6

_ORPHANS = 'cranecart.grouping._orphans'

_Order = Callable[[ServingHead], Sequence[str]]


def _head_first(replica: ServingHead) -> Sequence[str]:
    return replica.members


def _head_last(replica: ServingHead) -> Sequence[str]:
    return tuple(reversed(replica.members))


class LapsedReplicasTest(TestCase):
    """No member of a head that serves joins another replica."""

    def setUp(self) -> None:
        """Build a testbed with two replicas to be formed."""
        self.testbed = PlacerTestbed()
        self.addCleanup(self.testbed.listener.close)
        self.testbed.has_traffic = True

    def test_members_return_at_once(self) -> None:
        """They are released by the head, then form a replica again."""
        for order in (_head_first, _head_last):
            with self.subTest(order=order.__name__):
                self._run(self._return_all, order, 0)

    def test_members_return_one_after_another(self) -> None:
        """A member that returns before the head is not free."""
        for order in (_head_first, _head_last):
            with self.subTest(order=order.__name__):
                self._run(self._return_all, order, _RETURN_INTERVAL_SECONDS)

    def test_all_replicas_lapse(self) -> None:
        """No instance of the failure domain is listed for a while."""
        self._run(self._lapse_all)

    def test_members_lapse_twice(self) -> None:
        """They are away again before the first absence has been dealt with."""
        self._run(self._lapse_twice)

    def test_members_return_after_the_record_is_gone(self) -> None:
        """The placer that deleted it still knows what the replica was."""
        self._run(self._return_late, False)

    def test_members_return_to_a_placer_without_the_record(self) -> None:
        """The list alone shows which replica the members are in."""
        self._run(self._return_late, True)

    def test_members_never_return(self) -> None:
        """The record of a replica that is gone does not stay for good."""
        self._run(self._never_return)

    def test_members_return_restarted(self) -> None:
        """Members whose processes have ended are free."""
        self._run(self._return_restarted)

    async def _return_all(self, order: _Order, interval: float) -> None:
        replica = await self._cut_off_one()
        await self._start_successor()
        await curio.sleep(_CUT_SECONDS)
        await self._reconnect(order(replica), interval)
        await self._until_recovered(replica)

    async def _lapse_all(self) -> None:
        replicas = self.testbed.heads()
        await self._stop_placer()
        for replica in replicas:
            self._cut_off(replica.members)
        await self._start_successor()
        await curio.sleep(_CUT_SECONDS)
        for replica in replicas:
            await self._reconnect(_head_last(replica), _RETURN_INTERVAL_SECONDS)
        await self._until_recovered(*replicas)

    async def _lapse_twice(self) -> None:
        replica = await self._cut_off_one()
        await self._start_successor()
        await curio.sleep(_CUT_SECONDS)
        self.testbed.engines.reconnect(replica.members[-1])
        self.testbed.engines.cut_off(replica.members[-1])
        await self._stop_placer()
        await self._start_successor()
        await curio.sleep(_CUT_SECONDS)
        await self._reconnect(_head_last(replica), 0)
        await self._until_recovered(replica)

    async def _return_late(self, to_new_placer: bool) -> None:  # noqa: FBT001
        replica = await self._cut_off_one()
        with _short_absence():
            await self._start_successor()
            await until(lambda: not self._is_recorded(replica))
            if to_new_placer:
                await self._stop_placer()
                await self._start_successor()
        await self._reconnect(_head_last(replica), _RETURN_INTERVAL_SECONDS)
        await until(lambda: len(self.testbed.heads()) == 2, _RECOVERY_SECONDS)

    async def _never_return(self) -> None:
        replica = await self._cut_off_one()
        with _short_absence():
            await self._start_successor()
            await until(lambda: not self._is_recorded(replica))

    async def _return_restarted(self) -> None:
        replica = await self._cut_off_one()
        await self._start_successor()
        await curio.sleep(_CUT_SECONDS)
        for name in replica.members:
            self.testbed.engines.restart(name, born=2)
        await self._reconnect(replica.members, 0)
        await self._until_recovered(replica)

    def _run(
        self, scenario: Callable[..., Awaitable[None]], *options: object
    ) -> None:
        self.setUp()
        curio.run(self._run_after_forming, scenario, *options)
        self.assertEqual(self.testbed.engines.violations, [])

    async def _run_after_forming(
        self, scenario: Callable[..., Awaitable[None]], *options: object
    ) -> None:
        for name in self.testbed.fleet.instances:
            self.testbed.engines.restart(name, born=1)
        self.running = await curio.spawn(self.testbed.placer.run)
        await until(lambda: len(self.testbed.heads()) == 2)
        await scenario(*options)
        await self.running.cancel()

    async def _cut_off_one(self) -> ServingHead:
        """End the placer and cut the members of one replica off."""
        replica = self.testbed.heads()[0]
        await self._stop_placer()
        self._cut_off(replica.members)
        return replica

    def _cut_off(self, names: Iterable[str]) -> None:
        for name in names:
            self.testbed.engines.cut_off(name)

    async def _stop_placer(self) -> None:
        await self.testbed.placer.hand_over()
        await self.running.cancel()

    async def _start_successor(self) -> None:
        """Start a node that has never listed the members."""
        testbed = self.testbed
        listed = dict(testbed.fleet.instances)
        testbed.fleet = Fleet()
        testbed.fleet.apply_instances(listed, True)
        testbed.engines.fleet = testbed.fleet
        testbed.placer = testbed.make_placer('two')
        self.running = await curio.spawn(testbed.placer.run)
        await until(lambda: testbed.placer.held_failure_domain)

    async def _reconnect(self, names: Iterable[str], interval: float) -> None:
        for name in names:
            self.testbed.engines.reconnect(name)
            await curio.sleep(interval)

    async def _until_recovered(self, *ended: ServingHead) -> None:
        """Wait until two other replicas serve, and no member is held back."""
        epochs = {replica.replica_epoch for replica in ended}
        await until(
            lambda: (
                len(self.testbed.heads()) == 2
                and epochs.isdisjoint(
                    head.replica_epoch for head in self.testbed.heads()
                )
            ),
            _RECOVERY_SECONDS,
        )
        await until(
            lambda: not any(map(self._is_recorded, ended)), _RECOVERY_SECONDS
        )

    def _is_recorded(self, replica: ServingHead) -> bool:
        return self.testbed.fleet.replica_records.is_recorded(
            replica.replica_epoch
        )


class MembersListedAnewTest(TestCase):
    """Members of a replica that has no record, long after a takeover."""

    def setUp(self) -> None:
        """Build a placer's view of a fleet that it has watched for long."""
        self.fleet = Fleet()
        self.orphans = OrphanedReplicas(DOMAIN, self.fleet)

    def test_head_is_not_listed_yet(self) -> None:
        """A member is not free before its head has had time to return."""
        self._list('a1', 1, MemberPhase.READY)
        self.assertEqual(self.orphans.members(), {'a1'})
        with mock.patch(f'{_ORPHANS}._INCOMPLETE_GRACE_SECONDS', 0):
            self.assertEqual(self.orphans.members(), frozenset())

    def test_head_does_not_serve(self) -> None:
        """Members of a head that does not serve are free."""
        self._list('a0', 0, MemberPhase.READY)
        self._list('a1', 1, MemberPhase.READY)
        self.assertEqual(self.orphans.members(), frozenset())

    def test_head_serves(self) -> None:
        """A replica that is listed anew is found although nobody watches."""
        self._list('a1', 1, MemberPhase.READY)
        self._list('a0', 0, MemberPhase.OPEN)
        self.assertEqual(self.orphans.members(), {'a0', 'a1'})

    def _list(self, name: str, rank: int, phase: MemberPhase) -> None:
        instance = attrs.evolve(
            listed_instance(name, Address('127.0.0.1', 1)),
            membership=Membership('r', 1, rank, phase),
        )
        self.fleet.apply_instances({name: instance}, False)


def _short_absence() -> AbstractContextManager[object]:
    return mock.patch.object(
        _teardown, '_MAX_ABSENCE_SECONDS', _SHORT_ABSENCE_SECONDS
    )
