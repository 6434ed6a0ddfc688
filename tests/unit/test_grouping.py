"""Form, repair and tear down replicas with engines in memory."""

import gc
import itertools
import socket
import unittest

import attrs
import curio

from cranecart.fleet import Fleet, RecordState, ReplicaRecord, ServingHead
from cranecart.grouping import GroupPlacer, PlacerEnvironment, PlacerScope
from cranecart.http import Address
from cranecart.leases import Lease, LeaseTimeouts
from cranecart.models import RouteConfig
from tests.lib.fake_engines import (
    BIG,
    DOMAIN,
    PROFILE,
    SERVICE,
    SMALL,
    FakeEngines,
    listed_instance,
)
from tests.lib.fake_platform import FakePlatform
from tests.lib.waiting import core_clock, until

_CONFIG = RouteConfig(1, (), {SERVICE: PROFILE})
_STALL_SECONDS = 0.4
# The takeover timeout is short, as only one placer runs at a time here.
_TIMES = LeaseTimeouts(valid_seconds=2.5, takeover_seconds=0.3)
# None of these times passes in a test.
_LONG_TIMES = LeaseTimeouts(valid_seconds=30, takeover_seconds=20)
# A node that may take over looks at the lease this often.
_HAND_OVER_SECONDS = 1.0
_REPAIR_SECONDS = 3.0


def setUpModule() -> None:  # noqa: N802
    """Exclude the imported modules from garbage collection, as a node does.

    A full collection of them takes 35 to 70 ms beside load and would otherwise
    fall into a measured span (see ``cranecart.cli``).
    """
    gc.collect()
    gc.freeze()


def tearDownModule() -> None:  # noqa: N802
    """Let later test modules collect everything again."""
    gc.unfreeze()


class PlacerTestbed:
    """One placer, its table, and nine engine instances."""

    def __init__(self, engines_type: type[FakeEngines] = FakeEngines) -> None:
        """Build the parts; nothing runs yet."""
        self.fleet = Fleet()
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.address = Address(*self.listener.getsockname()[:2])
        self.engines = engines_type(self.fleet, _STALL_SECONDS)
        self.table = FakePlatform()
        self.stopped: list[tuple[str, bool]] = []
        # When the first replica was announced as stopped, by ``core_clock``.
        self.first_stopped_at: float | None = None
        self.tick_count = 0
        self.is_synced = True
        self.has_traffic = False
        self.demand: dict[str, float] = {}
        # The nodes that reach no instance.
        self.without_paths: set[str] = set()
        # The task of the placer, where a test keeps it here.
        self.running: curio.Task | None = None
        self.placer = self.make_placer('one')
        names = [f'i{number}' for number in range(9)]
        self.fleet.apply_instances(
            {name: listed_instance(name, self.address) for name in names},
            True,
        )

    def make_placer(
        self,
        node_id: str,
        domains: int = 1,
        times: LeaseTimeouts = _TIMES,
    ) -> GroupPlacer:
        """Return a placer of the failure domain."""
        return GroupPlacer(
            PlacerScope(DOMAIN, domains, _STALL_SECONDS),
            Lease(f'lease/{DOMAIN}', node_id, self.table, times),
            self.table,
            self.engines,
            self.fleet,
            PlacerEnvironment(
                self._config,
                bool,
                lambda: self.is_synced,
                lambda: self.has_traffic,
                lambda: self.demand,
                self._note_stopped,
                reaches_targets=lambda: node_id not in self.without_paths,
            ),
        )

    def heads(self) -> list[ServingHead]:
        """Return the replicas that serve."""
        return [
            *self.fleet.heads(SERVICE, BIG.name),
            *self.fleet.heads(SERVICE, SMALL.name),
        ]

    def lose(self, name: str) -> None:
        """Make an instance unreachable and report it as lost."""
        self.engines.unreachable.add(name)
        self.placer.failure_detector.report_lost(name, 'reported by the test')

    async def wait_for_tick(self) -> None:
        """Return when a tick has begun, so that the next one is far off."""
        ticks = self.tick_count
        while self.tick_count == ticks:
            await curio.sleep(0.001)

    def _config(self) -> RouteConfig:
        # The placer reads the configuration once in each tick.
        self.tick_count += 1
        return _CONFIG

    def _note_stopped(
        self,
        record: ReplicaRecord,
        _why: str,
        finishes: bool,
    ) -> None:
        if self.first_stopped_at is None:
            self.first_stopped_at = core_clock()
        self.stopped.append((record.name, finishes))


class GroupingTest(unittest.TestCase):
    """Nine instances of one fabric domain."""

    def setUp(self) -> None:
        """Build a testbed."""
        self.testbed = PlacerTestbed()
        self.addCleanup(self.testbed.listener.close)

    def test_forms_both_models_and_stages_spares(self) -> None:
        """Replicas of four and three serve; each spare stages another model."""
        curio.run(self._form_and_stage)
        sizes = sorted(len(head.members) for head in self.testbed.heads())
        self.assertEqual(sizes, [3, 4])
        used = {name for head in self.testbed.heads() for name in head.members}
        spares = [
            instance
            for instance in self.testbed.fleet.instances.values()
            if instance.id not in used
        ]
        first = [
            name
            for order, name in self.testbed.engines.orders
            if order == 'stage'
        ][: len(spares)]
        self.assertEqual(sorted(first), sorted(spare.id for spare in spares))
        self.assertEqual(self.testbed.engines.violations, [])

    def test_spares_load_their_model(self) -> None:
        """A spare takes no longer to join than a survivor."""
        curio.run(self._wait_until_warmed)
        self.assertEqual(self.testbed.engines.violations, [])

    def test_no_member_is_warmed_before_it_is_free(self) -> None:
        """An unreachable head may still serve with its members."""
        self.testbed.has_traffic = True
        curio.run(self._lose_head_briefly)
        self.assertEqual(self.testbed.engines.violations, [])

    def test_suspected_replica_is_checked_at_once(self) -> None:
        """All nodes learn of a lost member before the next tick."""
        self.assertLess(curio.run(self._suspect_member), 0.03)
        self.assertEqual(len({name for name, _ in self.testbed.stopped}), 1)

    def test_survivors_rejoin_at_once(self) -> None:
        """A released member does not wait for the time-out of an order."""
        seconds = curio.run(self._lose_member)
        self.assertLess(seconds, 0.45)
        self.assertEqual(self.testbed.engines.violations, [])

    def test_members_wait_for_an_unreachable_head(self) -> None:
        """No member joins elsewhere while the head may still serve."""
        seconds = curio.run(self._lose_head)
        self.assertGreater(seconds, _STALL_SECONDS)
        self.assertEqual(self.testbed.engines.violations, [])

    def test_a_head_that_stopped_listening_may_serve(self) -> None:
        """A leaving head finishes its requests after it stopped listening."""
        seconds = curio.run(self._stop_listening_at_head)
        self.assertGreater(seconds, _STALL_SECONDS)
        self.assertEqual(self.testbed.engines.violations, [])

    def test_no_head_opens_before_all_are_ready(self) -> None:
        """A member that follows no orders keeps its replica from serving."""
        self.testbed.engines.unreachable.add('i2')
        curio.run(self._form_for_a_while)
        members = {
            name for head in self.testbed.heads() for name in head.members
        }
        self.assertNotIn('i2', members)
        self.assertEqual(self.testbed.engines.violations, [])

    def test_an_unanswered_order_is_sent_again(self) -> None:
        """A lost answer delays the formation only briefly."""
        self.testbed.engines.dropping_answers.update(('i0', 'i1', 'i2'))
        curio.run(self._form_and_stage)
        self.assertEqual(self.testbed.engines.violations, [])

    def test_a_leaving_member_drains_the_replica(self) -> None:
        """The head is closed before its members are released."""
        curio.run(self._member_leaves)
        self.assertIn(
            'close', {name for name, _ in self.testbed.engines.orders}
        )
        self.assertEqual(
            [finishes for _, finishes in self.testbed.stopped], [True]
        )
        self.assertEqual(self.testbed.engines.interrupted, 0)
        self.assertEqual(self.testbed.engines.violations, [])

    def test_a_successor_keeps_the_replicas(self) -> None:
        """The next placer takes over the rows and joins no member again."""
        curio.run(self._replace_placer)
        members = {
            name for head in self.testbed.heads() for name in head.members
        }
        joins = [
            name
            for order, name in self.testbed.engines.orders
            if order == 'join' and name in members
        ]
        self.assertEqual(len(joins), 7)

    def test_duty_kept_by_a_node_without_paths(self) -> None:
        """Another node takes over at once and repairs; nobody takes it back."""
        curio.run(self._lose_paths)

    def test_instances_returning_one_by_one(self) -> None:
        """No replica loads a model while better members are returning."""
        curio.run(self._return_one_by_one)
        reasons = {
            record.reason for record in self.testbed.fleet.records.values()
        }
        self.assertEqual(reasons, {'0 members must load'})

    async def _lose_paths(self) -> None:
        testbed = self.testbed
        testbed.placer = testbed.make_placer('one', times=_LONG_TIMES)
        other = testbed.make_placer('two', times=_LONG_TIMES)
        running = [await curio.spawn(testbed.placer.run)]
        await until(lambda: len(testbed.heads()) == 2)
        running.append(await curio.spawn(other.run))
        testbed.without_paths.add('one')
        await until(lambda: other.held_failure_domain, _HAND_OVER_SECONDS)
        lost = next(
            head for head in testbed.heads() if head.model == SMALL.name
        )
        testbed.engines.unreachable.add(lost.members[-1])
        other.failure_detector.report_lost(lost.members[-1], 'by the test')
        await until(
            lambda: any(
                head.model == SMALL.name and head.epoch != lost.epoch
                for head in testbed.heads()
            ),
            _REPAIR_SECONDS,
        )
        self.assertFalse(testbed.placer.held_failure_domain)
        self.assertEqual(testbed.engines.violations, [])
        for task in running:
            await task.cancel()

    async def _return_one_by_one(self) -> None:
        testbed = self.testbed
        testbed.has_traffic = True
        instances = dict(testbed.fleet.instances)
        testbed.fleet.apply_instances({}, True)
        running = await curio.spawn(testbed.placer.run)
        for number, instance in enumerate(instances.values()):
            model = BIG.name if number < 4 else SMALL.name
            staged = attrs.evolve(instance, staged=(model,))
            testbed.fleet.apply_instances({instance.id: staged}, False)
            await curio.sleep(0.1)
        await until(lambda: len(testbed.heads()) >= 2)
        await running.cancel()

    async def _form_and_stage(self) -> None:
        testbed = self.testbed
        running = await curio.spawn(testbed.placer.run)
        await until(lambda: len(testbed.heads()) == 2)
        models = [BIG.name, SMALL.name]
        await until(lambda: self._spares_models() == models)
        await running.cancel()

    def _spares_models(self) -> list[str]:
        used = {name for head in self.testbed.heads() for name in head.members}
        return sorted(
            itertools.chain.from_iterable(
                instance.staged
                for instance in self.testbed.fleet.instances.values()
                if instance.id not in used
            ),
        )

    async def _wait_until_warmed(self) -> None:
        testbed = self.testbed
        running = await curio.spawn(testbed.placer.run)
        await until(lambda: len(testbed.heads()) == 2)
        used = {name for head in testbed.heads() for name in head.members}
        spares = testbed.fleet.instances.keys() - used
        await until(
            lambda: all(
                testbed.fleet.instances[spare].loaded for spare in spares
            ),
        )
        await running.cancel()

    async def _suspect_member(self) -> float:
        testbed = self.testbed
        running = await curio.spawn(testbed.placer.run)
        await until(lambda: len(testbed.heads()) == 2)
        big = testbed.fleet.heads(SERVICE, BIG.name)[0]
        # Nothing listens at the address of a process that has ended.
        closed_listener = socket.create_server(('127.0.0.1', 0))
        address = Address(*closed_listener.getsockname()[:2])
        closed_listener.close()
        member = attrs.evolve(
            testbed.fleet.instances[big.members[1]],
            address=address,
        )
        testbed.fleet.apply_instances({member.id: member}, False)
        await testbed.wait_for_tick()
        started = core_clock()
        await testbed.placer.suspect(big.replica_epoch, 'silent for 0.1 s')
        await until(lambda: testbed.first_stopped_at is not None)
        await running.cancel()
        assert testbed.first_stopped_at is not None
        return testbed.first_stopped_at - started

    async def _lose_head_briefly(self) -> None:
        testbed = self.testbed
        running = await curio.spawn(testbed.placer.run)
        await until(lambda: len(testbed.heads()) == 2)
        big = testbed.fleet.heads(SERVICE, BIG.name)[0]
        used = {name for head in testbed.heads() for name in head.members}
        # The two survivors are too few for any replica.
        for name in (testbed.fleet.instances.keys() - used) | {big.members[1]}:
            testbed.lose(name)
        for name in big.members[2:]:
            # Their hosts hold the remaining model, so they would become spares
            # for it.
            spare = attrs.evolve(
                testbed.fleet.instances[name],
                loaded=(),
                staged=(SMALL.name,),
            )
            testbed.fleet.apply_instances({name: spare}, False)
        testbed.lose(big.id)
        await curio.sleep(_STALL_SECONDS / 2)
        await running.cancel()

    async def _form_for_a_while(self) -> None:
        running = await curio.spawn(self.testbed.placer.run)
        await curio.sleep(0.8)
        await running.cancel()

    async def _lose_member(self) -> float:
        testbed = self.testbed
        running = await curio.spawn(testbed.placer.run)
        await until(lambda: len(testbed.heads()) == 2)
        big = testbed.fleet.heads(SERVICE, BIG.name)[0]
        await curio.sleep(0.2)
        testbed.lose(big.members[2])
        started = await curio.clock()
        await until(lambda: self._is_replaced(big))
        took = await curio.clock() - started
        await running.cancel()
        return float(took)

    async def _lose_head(self) -> float:
        testbed = self.testbed
        running = await curio.spawn(testbed.placer.run)
        await until(lambda: len(testbed.heads()) == 2)
        big = testbed.fleet.heads(SERVICE, BIG.name)[0]
        testbed.lose(big.id)
        started = await curio.clock()
        await until(lambda: self._is_replaced(big))
        took = await curio.clock() - started
        await running.cancel()
        return float(took)

    async def _stop_listening_at_head(self) -> float:
        testbed = self.testbed
        running = await curio.spawn(testbed.placer.run)
        await until(lambda: len(testbed.heads()) == 2)
        big = testbed.fleet.heads(SERVICE, BIG.name)[0]
        testbed.engines.refusing.add(big.id)
        testbed.placer.failure_detector.report_lost(
            big.id, 'no answer to connection attempts'
        )
        started = await curio.clock()
        await until(lambda: self._is_replaced(big))
        took = await curio.clock() - started
        await running.cancel()
        return float(took)

    async def _member_leaves(self) -> None:
        testbed = self.testbed
        running = await curio.spawn(testbed.placer.run)
        await until(lambda: len(testbed.heads()) == 2)
        big = testbed.fleet.heads(SERVICE, BIG.name)[0]
        leaver = testbed.fleet.instances[big.members[1]]
        leaving = attrs.evolve(leaver, leaving=True)
        testbed.engines.work_seconds = 0.4
        testbed.fleet.apply_instances({leaver.id: leaving}, False)
        await until(lambda: self._is_replaced(big))
        await running.cancel()

    async def _replace_placer(self) -> None:
        testbed = self.testbed
        running = await curio.spawn(testbed.placer.run)
        await until(lambda: len(testbed.heads()) == 2)
        await running.cancel()
        await testbed.placer.hand_over()
        successor = testbed.make_placer('two')
        running = await curio.spawn(successor.run)
        await until(lambda: successor.held_failure_domain)
        await curio.sleep(0.3)
        await running.cancel()

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


class FailingPlacerTest(unittest.TestCase):
    """A placer that cannot reach the store."""

    def test_a_failed_write_preempts_nothing(self) -> None:
        """A replica is closed only if the one that replaces it is recorded."""
        curio.run(self._fail_preemption_write)

    def test_the_lease_is_not_claimed_without_store(self) -> None:
        """Other nodes can check the lease long before it expires."""
        curio.run(self._lose_store)

    async def _fail_preemption_write(self) -> None:
        testbed = PlacerTestbed()
        staged = {
            name: attrs.evolve(instance, staged=(BIG.name, SMALL.name))
            for name, instance in testbed.fleet.instances.items()
        }
        testbed.fleet.apply_instances(staged, True)
        running = await curio.spawn(testbed.placer.run)
        await until(lambda: len(testbed.heads()) == 2)
        testbed.table.down = True
        testbed.has_traffic = True
        testbed.demand = {BIG.name: 0.1, SMALL.name: 6.0}
        await curio.sleep(1)
        self.assertEqual(testbed.stopped, [])
        testbed.table.down = False
        await until(lambda: testbed.stopped)
        await running.cancel()
        testbed.listener.close()

    async def _lose_store(self) -> None:
        testbed = PlacerTestbed()
        running = await curio.spawn(testbed.placer.run)
        await until(lambda: len(testbed.heads()) == 2)
        self.assertEqual(testbed.placer.held_failure_domain, DOMAIN)
        testbed.table.down = True
        await until(lambda: not testbed.placer.held_failure_domain)
        self.assertTrue(testbed.placer.lease.is_held)
        testbed.table.down = False
        await until(lambda: testbed.placer.held_failure_domain)
        await running.cancel()
        testbed.listener.close()
