"""Placement while a failure domain is evacuated, with engines in memory."""

import itertools
import time
import unittest
from collections.abc import Awaitable, Callable

import attrs
import curio

from cranecart.fleet import RecordState, ReplicaRecord
from cranecart.grouping._formation import ReplicaFormation
from cranecart.grouping._load_budget import LoadBudget
from cranecart.models import EngineModel, Evacuation
from cranecart.ports import MemberPhase, Membership
from tests.lib.fake_engines import (
    BIG,
    DOMAIN,
    PROFILE,
    SERVICE,
    SMALL,
    listed_instance,
)
from tests.lib.waiting import until
from tests.unit.test_grouping import PlacerTestbed

# Several ticks of the placer.
_WATCH_SECONDS = 0.5
# Loads are limited, so that two replicas form one after the other.
_LOAD_SECONDS = 8.0
_OTHER = 'west'


class EvacuatedPlacementTest(unittest.TestCase):
    """Nine instances of an evacuated failure domain."""

    def setUp(self) -> None:
        """Build a testbed."""
        self.testbed = PlacerTestbed()
        self.addCleanup(self.testbed.listener.close)

    def test_nothing_is_formed(self) -> None:
        """A node that starts meanwhile sends no orders, but does afterwards."""
        self._run_scenario(self._start_evacuated)

    def test_complete_replicas_stay_open(self) -> None:
        """They get no requests, are not repaired, and serve at once later."""
        self._run_scenario(self._lose_member_evacuated)

    def test_formation_pauses(self) -> None:
        """No member joins, and no complete replica opens, until the end."""
        for phase in (None, MemberPhase.READY):
            with self.subTest(phase=phase):
                curio.run(self._form_evacuated, phase)

    def test_other_domain_compensates(self) -> None:
        """Replicas there are no capacity: the model is formed here instead."""
        self._run_scenario(self._evacuate_other_domain)

    def test_formations_of_other_domain(self) -> None:
        """Paused formations there must not block all loads here."""
        for name in ('r0', 'r1'):
            self._add_replica(name, _OTHER, MemberPhase.JOINING)
        inventory = self.testbed.placer._executor._inventory
        loads = inventory.loads_in_progress()
        self._evacuate(_OTHER)
        self.assertEqual((loads, inventory.loads_in_progress()), (8, 0))

    def test_rate_of_loads(self) -> None:
        """The rate of the weight store is divided among the other placers."""
        now = itertools.count(10).__next__
        placer = self.testbed.make_placer('two', domains=3)
        stager = placer._executor._stager
        stager._load_budget = LoadBudget(now)
        self.testbed.has_traffic = True
        assert PROFILE.engine is not None
        engine = attrs.evolve(PROFILE.engine, loads_at_once=9)
        # At 4.5 loads/s the placer's share is 1.2, that of a sole one 3.6.
        self.assertTrue(stager.may_load(engine, 3, 0))
        self.assertFalse(stager.may_load(engine, 3, 0))
        self._evacuate(_OTHER, 'south')
        self.assertTrue(stager.may_load(engine, 3, 0))

    def test_first_plan(self) -> None:
        """Before traffic each placer plans all domains, but evacuated ones."""
        instance = attrs.evolve(
            listed_instance('w0', self.testbed.address, 'west-0'),
            failure_domain=_OTHER,
        )
        self.testbed.fleet.apply_instances({'w0': instance}, False)
        inventory = self.testbed.placer._executor._inventory
        self.assertIn(instance, inventory.plan_input(PROFILE).free)
        self._evacuate(_OTHER)
        self.assertNotIn(instance, inventory.plan_input(PROFILE).free)

    def _run_scenario(self, scenario: Callable[[], Awaitable[None]]) -> None:
        curio.run(self._run_placer, scenario)
        self.assertEqual(self.testbed.engines.violations, [])

    async def _run_placer(
        self, scenario: Callable[[], Awaitable[None]]
    ) -> None:
        running = await curio.spawn(self.testbed.placer.run)
        await scenario()
        await running.cancel()

    def _evacuate(self, *domains: str) -> None:
        version = time.monotonic_ns()
        self.testbed.fleet.evacuations.apply(
            [Evacuation(domain, version, True) for domain in domains],
            True,
            version,
            'test',
        )

    async def _assert_no_orders(self) -> None:
        orders = list(self.testbed.engines.orders)
        await curio.sleep(_WATCH_SECONDS)
        self.assertEqual(self.testbed.engines.orders, orders)

    async def _start_evacuated(self) -> None:
        self._evacuate(DOMAIN)
        await self._assert_no_orders()
        self.assertTrue(self.testbed.placer.lease.is_held)
        self._evacuate()
        await until(lambda: len(self.testbed.heads()) == 2)

    async def _lose_member_evacuated(self) -> None:
        testbed = self.testbed
        testbed.has_traffic = True
        await until(lambda: len(testbed.heads()) == 2)
        heads = testbed.heads()
        # Spares are staged and warmed by then.
        await curio.sleep(_WATCH_SECONDS)
        self._evacuate(DOMAIN)
        await self._assert_no_orders()
        self.assertEqual((testbed.heads(), testbed.stopped), ([], []))
        testbed.lose(heads[0].members[1])
        await curio.sleep(_WATCH_SECONDS)
        self.assertEqual(
            {name for name, _ in testbed.stopped}, {heads[0].replica}
        )
        await self._assert_no_orders()
        self._evacuate()
        self.assertEqual(testbed.heads(), heads[1:])
        await until(lambda: len(testbed.heads()) == 2)

    async def _form_evacuated(self, phase: MemberPhase | None) -> None:
        testbed = self.testbed
        await testbed.placer.lease.acquire_or_renew()
        record = self._add_replica(f'{phase}', DOMAIN, phase)
        testbed.engines._members[record.name, 1] = record.members
        self._evacuate(DOMAIN)
        formation = ReplicaFormation(
            record, testbed.fleet, testbed.placer._context
        )
        forming = await curio.spawn(formation.run)
        await self._assert_no_orders()
        self._evacuate()
        await until(lambda: testbed.fleet.is_open(record))
        await forming.join()

    async def _evacuate_other_domain(self) -> None:
        testbed = self.testbed
        for name in ('r0', 'r1', 'r2', 'r3'):
            self._add_replica(name, _OTHER, MemberPhase.OPEN)
        testbed.has_traffic = True
        testbed.demand = {BIG.name: 1.5, SMALL.name: 1.5}
        await until(lambda: len(self._own(SMALL)) == 2, _LOAD_SECONDS)
        self.assertEqual(self._own(BIG), [])
        self._evacuate(_OTHER)
        await until(
            lambda: testbed.fleet.heads(SERVICE, BIG.name), _LOAD_SECONDS
        )
        self.assertEqual(len(self._own(BIG)), 1)

    def _own(self, model: EngineModel) -> list[ReplicaRecord]:
        return [
            record
            for record in self.testbed.fleet.records.values()
            if record.failure_domain == DOMAIN
            and record.model == model.name
            and record.state is RecordState.SERVING
        ]

    def _add_replica(
        self, name: str, domain: str, phase: MemberPhase | None
    ) -> ReplicaRecord:
        """Add a large replica; its members are in a phase, if it has begun."""
        members = tuple(f'{name}-{rank}' for rank in range(BIG.size))
        record = ReplicaRecord(
            name, 1, SERVICE, BIG.name, domain, 'f', members, loads=BIG.size
        )
        instances = {
            member: attrs.evolve(
                listed_instance(member, self.testbed.address, 'f'),
                failure_domain=domain,
                membership=phase and Membership(name, 1, rank, phase),
            )
            for rank, member in enumerate(members)
        }
        self.testbed.fleet.apply_instances(instances, False)
        self.testbed.fleet.apply_records({record.key: record}, False)
        return record


if __name__ == '__main__':
    unittest.main()
