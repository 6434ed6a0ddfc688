"""Placement while a failure domain is evacuated, with engines in memory."""

import time
import unittest
from collections.abc import Awaitable, Callable

import attrs
import curio

from cranecart.fleet import RecordState, ReplicaRecord
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
        """A replica that lacks a member is not opened until the end."""
        self._run_scenario(self._evacuate_during_formation)

    def test_other_domain_compensates(self) -> None:
        """Replicas there are no capacity: the model is formed here instead."""
        self._run_scenario(self._evacuate_other_domain)

    def test_formations_of_other_domain(self) -> None:
        """Paused formations there must not block all loads here."""
        self._add_replicas_elsewhere(BIG, 2, MemberPhase.JOINING)
        inventory = self.testbed.placer._executor._inventory
        loads = inventory.loads_in_progress()
        self._evacuate(_OTHER)
        self.assertEqual((loads, inventory.loads_in_progress()), (8, 0))

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

    async def _evacuate_during_formation(self) -> None:
        engines = self.testbed.engines
        names = set(self.testbed.fleet.instances)
        engines.unreachable.update(names)
        await until(lambda: ('join', 'i0') in engines.orders)
        self._evacuate(DOMAIN)
        engines.unreachable.clear()
        await curio.sleep(0.1)
        await self._assert_no_orders()
        self.assertNotIn('open', {order for order, _ in engines.orders})
        self._evacuate()
        await until(lambda: len(self.testbed.heads()) == 2)

    async def _evacuate_other_domain(self) -> None:
        testbed = self.testbed
        self._add_replicas_elsewhere(BIG, 4, MemberPhase.OPEN)
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

    def _add_replicas_elsewhere(
        self, model: EngineModel, count: int, phase: MemberPhase
    ) -> None:
        """Add replicas of another failure domain, with heads in a phase."""
        for replica in range(count):
            members = tuple(f'w{replica}-{rank}' for rank in range(model.size))
            record = ReplicaRecord(
                f'r{replica}',
                1,
                SERVICE,
                model.name,
                _OTHER,
                'west-0',
                members,
                RecordState.SERVING,
                loads=model.size,
            )
            instances = {
                name: attrs.evolve(
                    listed_instance(name, self.testbed.address, 'west-0'),
                    failure_domain=_OTHER,
                    membership=Membership(record.name, 1, rank, phase),
                )
                for rank, name in enumerate(members)
            }
            self.testbed.fleet.apply_instances(instances, False)
            self.testbed.fleet.apply_records({record.key: record}, False)


if __name__ == '__main__':
    unittest.main()
