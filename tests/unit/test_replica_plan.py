"""Which replicas a placer forms, and which models it stages."""

import unittest

import attrs
from hypothesis import given
from hypothesis import strategies as st

from cranecart.fleet import ReplicaRecord
from cranecart.grouping._plan import plan
from cranecart.grouping._plan_types import Plan, PlanInput, ServingMember
from cranecart.grouping._preemption import (
    PREEMPTION_REASON,
    PreemptionCooldown,
    PreemptionScope,
)
from cranecart.grouping._stabilization import ListStabilization
from cranecart.grouping._stager import Stager
from cranecart.http import Address
from cranecart.ports import ListedInstance
from tests.lib.fake_engines import BIG, PROFILE, SERVICE, SMALL, listed_instance

_ADDRESS = Address('127.0.0.1', 1)


def _free_instance(
    name: str, staged: str = '', fabric: str = 'f'
) -> ListedInstance:
    instance = listed_instance(name, _ADDRESS, fabric)
    return attrs.evolve(instance, staged=(staged,) if staged else ())


def _plan(*free: ListedInstance, **replica_counts: int) -> Plan:
    demand = {BIG.name: 3.0, SMALL.name: 3.0}
    return plan(PlanInput(PROFILE, free, replica_counts, {}, demand))


class PlanTest(unittest.TestCase):
    """Instances of one failure domain."""

    def test_one_load_rather_than_three(self) -> None:
        """Three instances with the big model join one that must load it."""
        free_instances = [
            _free_instance(f'b{number}', BIG.name) for number in range(3)
        ]
        new_plan = _plan(*free_instances, _free_instance('new'), big=2, small=2)
        self.assertEqual(len(new_plan.replicas), 1)
        self.assertEqual(new_plan.replicas[0].model, BIG.name)
        self.assertEqual(new_plan.replicas[0].cold_members, 1)

    def test_survivors_of_one_model_serve_another(self) -> None:
        """They do if that needs no load, and their own model needs one."""
        free_instances = [
            _free_instance(f'b{number}', BIG.name) for number in range(3)
        ]
        survivors = [
            attrs.evolve(instance, loaded=(BIG.name,), staged=(SMALL.name,))
            for instance in free_instances
        ]
        new_plan = _plan(*survivors, _free_instance('new'), big=3, small=3)
        self.assertEqual(
            [
                (replica.model, replica.cold_members)
                for replica in new_plan.replicas
            ],
            [(SMALL.name, 0)],
        )

    def test_a_replica_keeps_its_model(self) -> None:
        """A spare with the model saves the survivors a switch."""
        free_instances = [
            attrs.evolve(
                _free_instance(f'b{number}'),
                loaded=(BIG.name,),
                staged=(SMALL.name,),
            )
            for number in range(4)
        ]
        new_plan = _plan(*free_instances, big=5, small=5)
        self.assertEqual(
            [replica.model for replica in new_plan.replicas], [BIG.name]
        )

    def test_every_instance_gets_a_second_model(self) -> None:
        """Members in use as well; a loaded model is not staged again."""
        spare = attrs.evolve(
            _free_instance('a'), loaded=('big',), staged=('big',)
        )
        member = attrs.evolve(
            _free_instance('m'), loaded=('small',), staged=('small',)
        )
        done = attrs.evolve(
            _free_instance('n'), loaded=('small',), staged=('big',)
        )
        plan_input = PlanInput(
            PROFILE,
            (spare,),
            {'big': 2, 'small': 2},
            {('f', 'big'): 1, ('f', 'small'): 1},
            {},
            (
                ServingMember(member, 'r', 'small'),
                ServingMember(done, 'r', 'small'),
            ),
        )
        stagings = [
            (staging.instance.id, staging.model)
            for staging in plan(plan_input).stagings
        ]
        self.assertEqual(stagings, [('a', 'small'), ('m', 'big')])

    def test_no_replica_spans_two_fabric_domains(self) -> None:
        """It would be slow, and is never formed."""
        free_instances = [
            _free_instance(f'a{number}', fabric='f1') for number in range(2)
        ]
        free_instances.extend(
            _free_instance(f'b{number}', fabric='f2') for number in range(2)
        )
        self.assertEqual(_plan(*free_instances).replicas, ())

    def test_a_spare_for_each_model_before_a_second(self) -> None:
        """Whatever the momentary demand and numbers of replicas."""
        free_instances = (_free_instance('a'), _free_instance('b'))
        plan_input = PlanInput(
            PROFILE,
            free_instances,
            {BIG.name: 2, SMALL.name: 6},
            {('f', BIG.name): 1, ('f', SMALL.name): 1},
            {BIG.name: 3.0, SMALL.name: 3.0},
        )
        models = {staging.model for staging in plan(plan_input).stagings}
        self.assertEqual(models, {BIG.name, SMALL.name})

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(['f1', 'f2']),
                st.sampled_from(['', BIG.name, SMALL.name]),
            ),
            max_size=24,
        ),
    )
    def test_no_instance_gets_two_roles(
        self, kinds: list[tuple[str, str]]
    ) -> None:
        """Each free instance gets at most one role."""
        free_instances = [
            _free_instance(f'i{number}', staged, fabric)
            for number, (fabric, staged) in enumerate(kinds)
        ]
        new_plan = _plan(*free_instances)
        roles = [
            member.id for new in new_plan.replicas for member in new.members
        ]
        roles.extend(staging.instance.id for staging in new_plan.stagings)
        self.assertEqual(len(roles), len(set(roles)))
        for new in new_plan.replicas:
            fabrics = {member.fabric_domain for member in new.members}
            self.assertEqual(fabrics, {new.fabric_domain})


class PreemptionTest(unittest.TestCase):
    """A model that has lost its replicas to another."""

    def test_preempts_for_a_scarce_model(self) -> None:
        """Three members and a spare become a replica of four."""
        new_plan = _plan_preemption('big', 'r', spares=1, big=2, small=8)
        self.assertEqual(new_plan.preempted, ('r',))
        self.assertEqual(
            [replica.model for replica in new_plan.replicas], ['big']
        )

    def test_preempts_two_for_one(self) -> None:
        """Six members without a spare become a replica of four, two spares."""
        new_plan = _plan_preemption('big', 'ab', spares=0, big=1, small=9)
        self.assertEqual(new_plan.preempted, ('a', 'b'))
        self.assertEqual(
            [replica.model for replica in new_plan.replicas], ['big']
        )

    def test_small_differences_are_ignored(self) -> None:
        """Small differences in the numbers of replicas are due to chance."""
        new_plan = _plan_preemption('big', 'r', spares=1, big=7, small=6)
        self.assertEqual(new_plan.preempted, ())

    def test_no_preemption_if_the_other_must_load(self) -> None:
        """The load would cost more than the preemption gains."""
        new_plan = _plan_preemption('small', 'r', spares=1, big=2, small=8)
        self.assertEqual(new_plan.preempted, ())

    def test_one_placer_at_a_time(self) -> None:
        """The effect of one preemption is awaited before the next."""
        now = 10.0
        cooldown = PreemptionCooldown(lambda: now)
        record = ReplicaRecord('r', 1, SERVICE, 'small', 'east', 'f', ('a',))
        self.assertIs(cooldown.scope([record]), PreemptionScope.ANYWHERE)
        now += 1
        closing = attrs.evolve(record, reason=PREEMPTION_REASON)
        self.assertIs(cooldown.scope([closing]), PreemptionScope.DEFERRED)
        now += 0.5
        self.assertIs(cooldown.scope([record]), PreemptionScope.DEFERRED)
        now += 1
        self.assertIs(cooldown.scope([record]), PreemptionScope.ANYWHERE)

    def test_full_domains_are_compared_rarely(self) -> None:
        """All replicas of a failure domain are compared twice a second."""
        now = 10.0
        cooldown = PreemptionCooldown(lambda: now)
        cooldown.scope([])
        now += 0.1
        self.assertIs(cooldown.scope([]), PreemptionScope.WITH_FREE_INSTANCES)
        self.assertTrue(PreemptionScope.WITH_FREE_INSTANCES.allows(True))
        self.assertFalse(PreemptionScope.WITH_FREE_INSTANCES.allows(False))


def _plan_preemption(
    staged: str,
    replicas: str,
    spares: int,
    **replica_counts: int,
) -> Plan:
    """Plan with small replicas whose members have a model staged."""
    members = tuple(
        ServingMember(
            attrs.evolve(
                _free_instance(f'{name}{number}', staged), loaded=('small',)
            ),
            name,
            'small',
        )
        for name in replicas
        for number in range(3)
    )
    unused = tuple(
        attrs.evolve(_free_instance(f's{number}', staged), loaded=('small',))
        for number in range(spares)
    )
    demand = {'big': 3.0, 'small': 3.0}
    plan_input = PlanInput(PROFILE, unused, replica_counts, {}, demand, members)
    return plan(plan_input, PreemptionScope.ANYWHERE)


class StabilizationTest(unittest.TestCase):
    """Instances that return one by one."""

    def test_waits_for_instances_returning_together(self) -> None:
        """The first three form nothing while others follow."""
        now = 10.0
        stabilization = ListStabilization(lambda: now)
        free_instances = [_free_instance(f'i{number}') for number in range(9)]
        stabilization.update(free_instances[:3])
        now = 10.2
        stabilization.update(free_instances[:6])
        self.assertFalse(stabilization.may_use(free_instances[:3]))
        now = 10.6
        stabilization.update(free_instances[:6])
        self.assertTrue(stabilization.may_use(free_instances[:3]))

    def test_survivors_do_not_wait(self) -> None:
        """Changes of other instances do not delay earlier members."""
        now = 10.0
        stabilization = ListStabilization(lambda: now)
        free_instances = [_free_instance(f'i{number}') for number in range(9)]
        stabilization.update(free_instances[:4])
        now = 20.0
        stabilization.update(free_instances)
        self.assertTrue(stabilization.may_use(free_instances[:4]))


class LoadLimitTest(unittest.TestCase):
    """How many loads may run at once."""

    def setUp(self) -> None:
        """Build a stager with traffic, the only placer."""
        self.stager = Stager(
            None,  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            1,
            lambda: True,
        )
        assert PROFILE.engine is not None
        self.engine = attrs.evolve(PROFILE.engine, loads_at_once=6)

    def test_no_load_slows_another(self) -> None:
        """A load beyond the store's rate waits."""
        self.assertFalse(self.stager.may_load(self.engine, 2, 5))
        self.assertTrue(self.stager.may_load(self.engine, 2, 4))

    def test_a_large_replica_may_load_alone(self) -> None:
        """One that needs more loads than the limit does not wait endlessly."""
        engine = attrs.evolve(self.engine, loads_at_once=2)
        self.assertTrue(self.stager.may_load(engine, 3, 0))

    def test_free_before_traffic(self) -> None:
        """The number of loads is not limited before the first request."""
        stager = attrs.evolve(self.stager, has_traffic=bool)
        self.assertTrue(stager.may_load(self.engine, 30, 30))
