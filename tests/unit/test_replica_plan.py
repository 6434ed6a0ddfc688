"""What a placer wants to form and to stage."""

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
from tests.lib.fake_engines import BIG, PROFILE, SERVICE, SMALL, listed

_ADDRESS = Address('127.0.0.1', 1)


def _host(name: str, staged: str = '', fabric: str = 'f') -> ListedInstance:
    instance = listed(name, _ADDRESS, fabric)
    return attrs.evolve(instance, staged=(staged,) if staged else ())


def _plan(*free: ListedInstance, **replica_counts: int) -> Plan:
    demand = {BIG.name: 3.0, SMALL.name: 3.0}
    return plan(PlanInput(PROFILE, free, replica_counts, {}, demand))


class PlanTest(unittest.TestCase):
    """Instances of one failure domain."""

    def test_one_load_rather_than_three(self) -> None:
        """Three that have the big model wait for one more, not for all."""
        hosts = [_host(f'b{number}', BIG.name) for number in range(3)]
        found = _plan(*hosts, _host('new'), big=2, small=2)
        self.assertEqual(len(found.replicas), 1)
        self.assertEqual(found.replicas[0].model, BIG.name)
        self.assertEqual(found.replicas[0].cold_members, 1)

    def test_survivors_of_one_model_serve_another(self) -> None:
        """Where that needs no load, and waiting for one would."""
        hosts = [_host(f'b{number}', BIG.name) for number in range(3)]
        survivors = [
            attrs.evolve(one, loaded=(BIG.name,), staged=(SMALL.name,))
            for one in hosts
        ]
        found = _plan(*survivors, _host('new'), big=3, small=3)
        self.assertEqual(
            [(one.model, one.cold_members) for one in found.replicas],
            [(SMALL.name, 0)],
        )

    def test_a_replica_goes_on_as_it_was(self) -> None:
        """A spare that has the model spares survivors another one."""
        hosts = [
            attrs.evolve(
                _host(f'b{number}'),
                loaded=(BIG.name,),
                staged=(SMALL.name,),
            )
            for number in range(4)
        ]
        found = _plan(*hosts, big=5, small=5)
        self.assertEqual([one.model for one in found.replicas], [BIG.name])

    def test_every_instance_gets_a_second_model(self) -> None:
        """Members in use too, and what is loaded is not staged again."""
        spare = attrs.evolve(_host('a'), loaded=('big',), staged=('big',))
        member = attrs.evolve(_host('m'), loaded=('small',), staged=('small',))
        done = attrs.evolve(_host('n'), loaded=('small',), staged=('big',))
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
            (one.instance.id, one.model) for one in plan(plan_input).stagings
        ]
        self.assertEqual(stagings, [('a', 'small'), ('m', 'big')])

    def test_no_replica_over_two_fabric_domains(self) -> None:
        """It would be slow, and is never formed."""
        hosts = [_host(f'a{number}', fabric='f1') for number in range(2)]
        hosts.extend(_host(f'b{number}', fabric='f2') for number in range(2))
        self.assertEqual(_plan(*hosts).replicas, ())

    def test_a_spare_for_each_model_before_a_second(self) -> None:
        """However the models' work and numbers differ for a moment."""
        hosts = (_host('a'), _host('b'))
        plan_input = PlanInput(
            PROFILE,
            hosts,
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
    def test_nobody_twice(self, kinds: list[tuple[str, str]]) -> None:
        """Whatever is free, each instance gets one job at the most."""
        hosts = [
            _host(f'i{number}', staged, fabric)
            for number, (fabric, staged) in enumerate(kinds)
        ]
        found = _plan(*hosts)
        jobs = [one.id for new in found.replicas for one in new.members]
        jobs.extend(staging.instance.id for staging in found.stagings)
        self.assertEqual(len(jobs), len(set(jobs)))
        for new in found.replicas:
            fabrics = {one.fabric_domain for one in new.members}
            self.assertEqual(fabrics, {new.fabric_domain})


class ReshapeTest(unittest.TestCase):
    """A model that has lost its replicas to another."""

    def test_makes_room(self) -> None:
        """Three and a spare become four where four are lacking."""
        found = _room('big', 'r', spares=1, big=2, small=8)
        self.assertEqual(found.preempted, ('r',))
        self.assertEqual([one.model for one in found.replicas], ['big'])

    def test_two_make_room_for_one(self) -> None:
        """Where no spare is left, six become four and two spares."""
        found = _room('big', 'ab', spares=0, big=1, small=9)
        self.assertEqual(found.preempted, ('a', 'b'))
        self.assertEqual([one.model for one in found.replicas], ['big'])

    def test_small_differences_are_left(self) -> None:
        """Chance alone brings them."""
        found = _room('big', 'r', spares=1, big=7, small=6)
        self.assertEqual(found.preempted, ())

    def test_not_where_the_other_would_have_to_load(self) -> None:
        """That would cost more than it brings."""
        found = _room('small', 'r', spares=1, big=2, small=8)
        self.assertEqual(found.preempted, ())

    def test_one_placer_at_a_time(self) -> None:
        """What has made room is waited for before more is closed."""
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

    def test_where_nothing_is_free_only_now_and_then(self) -> None:
        """All replicas of a failure domain are compared twice a second."""
        now = 10.0
        cooldown = PreemptionCooldown(lambda: now)
        cooldown.scope([])
        now += 0.1
        self.assertIs(cooldown.scope([]), PreemptionScope.WITH_FREE_INSTANCES)
        self.assertTrue(PreemptionScope.WITH_FREE_INSTANCES.allows(True))
        self.assertFalse(PreemptionScope.WITH_FREE_INSTANCES.allows(False))


def _room(
    staged: str,
    replicas: str,
    spares: int,
    **replica_counts: int,
) -> Plan:
    """Choose between small replicas whose members have a model staged."""
    members = tuple(
        ServingMember(
            attrs.evolve(_host(f'{name}{number}', staged), loaded=('small',)),
            name,
            'small',
        )
        for name in replicas
        for number in range(3)
    )
    unused = tuple(
        attrs.evolve(_host(f's{number}', staged), loaded=('small',))
        for number in range(spares)
    )
    demand = {'big': 3.0, 'small': 3.0}
    plan_input = PlanInput(PROFILE, unused, replica_counts, {}, demand, members)
    return plan(plan_input, PreemptionScope.ANYWHERE)


class SettlingTest(unittest.TestCase):
    """Instances that return one by one."""

    def test_waits_for_those_that_come_together(self) -> None:
        """The first three form nothing while others follow."""
        now = 10.0
        stabilization = ListStabilization(lambda: now)
        hosts = [_host(f'i{number}') for number in range(9)]
        stabilization.update(hosts[:3])
        now = 10.2
        stabilization.update(hosts[:6])
        self.assertFalse(stabilization.may_use(hosts[:3]))
        now = 10.6
        stabilization.update(hosts[:6])
        self.assertTrue(stabilization.may_use(hosts[:3]))

    def test_survivors_do_not_wait(self) -> None:
        """Others' coming or going says nothing about old members."""
        now = 10.0
        stabilization = ListStabilization(lambda: now)
        hosts = [_host(f'i{number}') for number in range(9)]
        stabilization.update(hosts[:4])
        now = 20.0
        stabilization.update(hosts)
        self.assertTrue(stabilization.may_use(hosts[:4]))


class LoadsTest(unittest.TestCase):
    """How many loads may run at once."""

    def setUp(self) -> None:
        """Build a stager with traffic, one of three placers."""
        self.stager = Stager(
            None,  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            1,
            lambda: True,
        )
        assert PROFILE.engine is not None
        self.engine = attrs.evolve(PROFILE.engine, loads_at_once=6)

    def test_no_load_slows_another(self) -> None:
        """What would exceed the store's pace waits."""
        self.assertFalse(self.stager.may_load(self.engine, 2, 5))
        self.assertTrue(self.stager.may_load(self.engine, 2, 4))

    def test_a_large_replica_may_load_alone(self) -> None:
        """One that needs more than the store's pace is not held for ever."""
        engine = attrs.evolve(self.engine, loads_at_once=2)
        self.assertTrue(self.stager.may_load(engine, 3, 0))

    def test_free_before_traffic(self) -> None:
        """Nothing is counted then."""
        stager = attrs.evolve(self.stager, has_traffic=bool)
        self.assertTrue(stager.may_load(self.engine, 30, 30))
