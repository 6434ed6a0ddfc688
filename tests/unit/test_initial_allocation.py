"""The first allocation, which all placers compute at about the same time.

Each placer plans for all failure domains and forms its own part. A placer that
was 35 ms late found two replicas of another one recorded ('present':
{'loba740e0': 2.0}) and planned around them: it gave 3 replicas of one model and
10 of the other, where plans at the same moment give 6 and 8. Seven of the ten
were closed in the first seconds of traffic.
"""

import itertools
import unittest
from collections import Counter
from types import SimpleNamespace
from typing import Any

import attrs

from cranecart.fleet import Fleet, ReplicaRecord
from cranecart.grouping._inventory import Inventory
from cranecart.grouping._orphans import OrphanedReplicas
from cranecart.grouping._plan import plan
from cranecart.grouping._plan_types import NewReplica
from cranecart.grouping._stager import Stager
from cranecart.http import Address
from cranecart.models import EngineModel, EngineProfile, ServiceProfile
from cranecart.ports import MemberPhase, Membership
from tests.lib.fake_engines import SERVICE, listed_instance

_LARGE = EngineModel('large', 4, 1.0, 0.5, 16, 1.6)
_SMALL = EngineModel('small', 3, 0.6, 0.5, 12, 1.1)
_PROFILE = ServiceProfile(
    SERVICE,
    EngineProfile((_LARGE, _SMALL), 13, 0.3, 8, 1),
)
_DOMAINS = ('east', 'north', 'west')
_FABRICS = 2
_MEMBERS = 9
_ADDRESS = Address('127.0.0.1', 1)


def _fleet() -> Fleet:
    fleet = Fleet()
    places = itertools.product(_DOMAINS, range(_FABRICS), range(_MEMBERS))
    entries = (
        attrs.evolve(
            listed_instance(f'{domain}-{fabric}-{number}', _ADDRESS),
            failure_domain=domain,
            fabric_domain=f'{domain}-{fabric}',
        )
        for domain, fabric, number in places
    )
    fleet.apply_instances({instance.id: instance for instance in entries}, True)
    return fleet


def _inventory(fleet: Fleet, domain: str) -> Inventory:
    failure_detector: Any = SimpleNamespace(lost_instances=frozenset)
    nothing: Any = None
    stager = Stager(nothing, nothing, len(_DOMAINS), bool)
    orphans = OrphanedReplicas(domain, fleet)
    return Inventory(
        domain, fleet, failure_detector, stager, orphans, dict, bool, 4
    )


def _own_part(fleet: Fleet, domain: str) -> list[NewReplica]:
    inventory = _inventory(fleet, domain)
    return list(
        plan(inventory.plan_input(_PROFILE))
        .restricted_to(inventory.is_own)
        .replicas
    )


def _record(fleet: Fleet, domain: str, new: NewReplica) -> None:
    record = ReplicaRecord(
        f'{domain}-{new.members[0].id}',
        1,
        SERVICE,
        new.model,
        domain,
        new.fabric_domain,
        tuple(member.id for member in new.members),
    )
    fleet.apply_records({record.key: record}, False)


class InitialAllocationTest(unittest.TestCase):
    """Placers that start some tens of milliseconds apart."""

    def test_a_late_placer_plans_the_same(self) -> None:
        """Its part does not depend on how much the first has formed."""
        expected = {domain: _own_part(_fleet(), domain) for domain in _DOMAINS}
        for first, late in itertools.permutations(_DOMAINS, 2):
            fleet = _fleet()
            for new in expected[first]:
                _record(fleet, first, new)
                with self.subTest(first=first, late=late):
                    self._check_same(fleet, late, expected[late])

    def test_own_part_is_not_formed_twice(self) -> None:
        """A placer's own replicas are not formed again."""
        for domain in _DOMAINS:
            fleet = _fleet()
            for new in _own_part(fleet, domain):
                _record(fleet, domain, new)
            self.assertEqual(_own_part(fleet, domain), [])

    def test_a_cold_replica_counts_as_less(self) -> None:
        """Its model lacks capacity while its head takes few requests."""
        fleet = _fleet()
        new = _own_part(fleet, 'east')[0]
        _record(fleet, 'east', new)
        record = next(iter(fleet.records.values()))
        head = fleet.instances[record.head]
        membership = Membership(record.name, record.epoch, 0, MemberPhase.OPEN)
        fleet.apply_instances(
            {head.id: attrs.evolve(head, membership=membership)}, False
        )
        inventory = _inventory(fleet, 'east')
        cold = attrs.evolve(inventory, cold_seconds=lambda _head: float(3))
        weights = [
            candidate.plan_input(_PROFILE).replica_counts[new.model]
            for candidate in (inventory, cold)
        ]
        self.assertEqual(weights[0], 1)
        self.assertLess(weights[1], 0.7)

    def _check_same(
        self,
        fleet: Fleet,
        domain: str,
        expected: list[NewReplica],
    ) -> None:
        counts = Counter(new.model for new in _own_part(fleet, domain))
        self.assertEqual(counts, Counter(new.model for new in expected))
