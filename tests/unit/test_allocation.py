"""Allocation of a fabric domain's instances to models."""

import itertools
import random
import unittest
from collections import Counter
from collections.abc import Iterable, Iterator
from typing import TypeVar

import attrs

from cranecart.grouping._allocation import (
    FabricPool,
    PreemptibleReplica,
    best_allocation,
)
from cranecart.grouping._member_selection import Candidate
from cranecart.grouping._objective import Objective, build_objective
from cranecart.grouping._plan import plan
from cranecart.grouping._plan_types import (
    NewReplica,
    Plan,
    PlanInput,
    ServingMember,
)
from cranecart.grouping._preemption import PreemptionScope
from cranecart.http import Address
from cranecart.models import EngineModel, EngineProfile, ServiceProfile
from cranecart.ports import ListedInstance
from tests.lib.fake_engines import SERVICE, listed_instance

_LARGE = EngineModel('large', 4, 1.0, 0.67, 16, 1.6)
_SMALL = EngineModel('small', 2, 0.6, 0.33, 12, 1.1)
_MODELS = (_LARGE, _SMALL)
_ADDRESS = Address('127.0.0.1', 1)
_PROFILE = ServiceProfile(SERVICE, EngineProfile(_MODELS, 13, 0.3, 4, 1))


def _warm_instance(name: str, model: str, fabric: str = 'f') -> ListedInstance:
    """Return an instance with one model loaded and the other staged."""
    instance = listed_instance(name, _ADDRESS, fabric)
    return attrs.evolve(
        instance,
        loaded=(model,),
        staged=('small' if model == 'large' else 'large',),
    )


def _objective(large: float = 3, small: float = 3) -> Objective:
    return build_objective(_MODELS, {'large': large, 'small': small}, 48)


class ObjectiveTest(unittest.TestCase):
    """The value of numbers of replicas."""

    def test_marginal_value_decreases(self) -> None:
        """Each further replica of a model adds less than the one before."""
        objective = _objective()
        scores = [
            objective.value({'large': count, 'small': 4}) for count in range(9)
        ]
        gains = [after - before for before, after in itertools.pairwise(scores)]
        self.assertEqual(gains, sorted(gains, reverse=True))

    def test_shares_replace_unknown_demand(self) -> None:
        """Without measured demand, the declared shares are used.

        Two thirds of the instances for size four and a third for size two give
        about as many replicas of both.
        """
        objective = build_objective(_MODELS, {}, 48)
        self.assertAlmostEqual(
            objective.demand['large'] / objective.demand['small'],
            1,
            delta=0.1,
        )


class BestAllocationTest(unittest.TestCase):
    """One fabric domain."""

    def test_matches_exhaustive_search(self) -> None:
        """Compare small cases with all choices of members and preemptions."""
        source = random.Random(7)
        for _case in range(150):
            pool = _random_pool(source)
            replica_counts = {'large': source.randint(1, 6), 'small': 4.0}
            allocation = best_allocation(pool, _objective(), replica_counts)
            best = max(
                best_allocation(narrowed, _objective(), replica_counts).value
                for narrowed in _restrictions(pool)
            )
            self.assertAlmostEqual(allocation.value, best)

    def test_survivors_wait_for_a_small_replica_to_close(self) -> None:
        """Three of four survivors get a member from a plentiful small model."""
        survivors = [
            Candidate(_warm_instance(f'l{number}', 'large'))
            for number in range(3)
        ]
        small = tuple(
            _warm_instance(f's{number}', 'small') for number in range(2)
        )
        pool = FabricPool(
            tuple(survivors),
            (PreemptibleReplica('r', 'small', small),),
            drain_seconds=0.5,
        )
        allocation = best_allocation(
            pool, _objective(), {'large': 4, 'small': 10}
        )
        self.assertEqual(allocation.preempted, ('r',))
        self.assertEqual(
            [replica.model for replica in allocation.formed], ['large']
        )

    def test_no_step_is_reverted(self) -> None:
        """A replica that was just formed is not preempted again."""
        for large, small in itertools.product(range(1, 9), repeat=2):
            members = tuple(
                _warm_instance(f'l{number}', 'large') for number in range(4)
            )
            pool = FabricPool(tuple(Candidate(member) for member in members))
            replica_counts = {'large': large, 'small': small}
            formed = best_allocation(pool, _objective(), replica_counts).formed
            now = Counter(replica_counts)
            now.update(replica.model for replica in formed)
            again = best_allocation(
                FabricPool(
                    (),
                    tuple(
                        PreemptibleReplica(
                            f'r{number}', replica.model, replica.instances
                        )
                        for number, replica in enumerate(formed)
                    ),
                    drain_seconds=0.5,
                ),
                _objective(),
                now,
            )
            self.assertEqual(again.preempted, ())


class InitialPlanTest(unittest.TestCase):
    """Unused instances of three failure domains, before the first request."""

    def test_placers_agree_on_one_allocation(self) -> None:
        """Each placer plans for all instances; their parts fit together."""
        free = tuple(
            listed_instance(f'{fabric}-{number}', _ADDRESS, f'f{fabric}')
            for fabric, number in itertools.product(range(6), range(8))
        )
        plan_input = PlanInput(
            _PROFILE, free, {}, {}, {}, load_time_factor=0.1, instance_count=48
        )
        full_plan = plan(plan_input)
        counts = Counter(replica.model for replica in full_plan.replicas)
        self.assertEqual(counts, {'large': 8, 'small': 8})
        parts = sum(
            len(_part(full_plan, fabrics).replicas)
            for fabrics in ({'f0', 'f1'}, {'f2', 'f3'}, {'f4', 'f5'})
        )
        self.assertEqual(parts, len(full_plan.replicas))


class FailuresTest(unittest.TestCase):
    """A member fails for good every two seconds."""

    def test_the_large_model_keeps_its_replicas(self) -> None:
        """With greedy allocation it kept only 2 to 4 of 6 replicas."""
        for seed in range(12):
            deployment = _Deployment(random.Random(seed))
            for _death in range(16):
                deployment.kill_one()
                deployment.place()
            counts = deployment.counts()
            self.assertGreaterEqual(counts['large'], 4, f'seed {seed}')
            self.assertGreaterEqual(counts['small'], 4, f'seed {seed}')


_Item = TypeVar('_Item')
_Replica = tuple[str, list[ListedInstance]]


class _Deployment:
    """Six fabric domains of eight, allocated again after each failure."""

    def __init__(self, source: random.Random) -> None:
        self._source = source
        self._numbers = itertools.count()
        self.replicas: dict[str, _Replica] = {}
        self.free: list[ListedInstance] = []
        self.closing: list[list[ListedInstance]] = []
        for fabric, number in itertools.product(range(6), range(8)):
            model = 'large' if number < 4 else 'small'
            self.free.append(
                _warm_instance(f'{fabric}-{number}', model, f'f{fabric}')
            )
        self.place()

    def counts(self) -> Counter[str]:
        """Return the replicas of each model."""
        return Counter(model for model, _members in self.replicas.values())

    def kill_one(self) -> None:
        """Lose a member of some replica; the others become free."""
        name = self._source.choice(sorted(self.replicas))
        _model, members = self.replicas.pop(name)
        members.remove(self._source.choice(members))
        self.free.extend(members)

    def place(self) -> None:
        """Apply six plans, one after the other.

        Preempted replicas end one after the other, with a plan in between.
        """
        for _turn in range(6):
            if self.closing:
                self.free.extend(self.closing.pop(0))
            new_plan = plan(self._plan_input(), PreemptionScope.ANYWHERE)
            for name in new_plan.preempted:
                self.closing.append(self.replicas.pop(name)[1])
            for new in new_plan.replicas:
                self._form(new)

    def _form(self, new: NewReplica) -> None:
        for group in (self.free, *self.closing):
            for member in set(group) & set(new.members):
                group.remove(member)
        joined = [
            _warm_instance(member.id, new.model, member.fabric_domain)
            for member in new.members
        ]
        self.replicas[f'r{next(self._numbers)}'] = (new.model, joined)

    def _plan_input(self) -> PlanInput:
        return PlanInput(
            _PROFILE,
            (*self.free, *itertools.chain.from_iterable(self.closing)),
            self.counts(),
            {},
            {'large': 3.0, 'small': 3.6},
            tuple(self._members()),
        )

    def _members(self) -> Iterator[ServingMember]:
        for name, (model, members) in self.replicas.items():
            for member in members:
                yield ServingMember(member, name, model)


def _part(full_plan: Plan, fabrics: set[str]) -> Plan:
    return full_plan.restricted_to(
        lambda instance: instance.fabric_domain in fabrics
    )


def _random_pool(source: random.Random) -> FabricPool:
    free = tuple(
        Candidate(
            _warm_instance(f'i{number}', source.choice(('large', 'small')))
        )
        for number in range(source.randint(0, 6))
    )
    preemptible = tuple(
        PreemptibleReplica(
            f'r{number}',
            'small',
            tuple(
                _warm_instance(f'r{number}-{member}', 'small')
                for member in range(2)
            ),
        )
        for number in range(source.randint(0, 2))
    )
    return FabricPool(free, preemptible, drain_seconds=0.5)


def _restrictions(pool: FabricPool) -> Iterable[FabricPool]:
    """Yield the pool with every subset of its instances and replicas."""
    for free, preemptible in itertools.product(
        _subsets(pool.candidates),
        _subsets(pool.preemptible),
    ):
        yield attrs.evolve(
            pool,
            candidates=free,
            preemptible=preemptible,
        )


def _subsets(items: tuple[_Item, ...]) -> Iterator[tuple[_Item, ...]]:
    for count in range(len(items) + 1):
        yield from itertools.combinations(items, count)
