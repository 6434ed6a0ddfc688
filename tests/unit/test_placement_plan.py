"""Placement decisions."""

import unittest
from collections import Counter

import attrs
from hypothesis import given
from hypothesis import strategies as st

from cranecart.instances import MemberState, ReplicaRow
from cranecart.placement import (
    CreateReplica,
    DomainState,
    DrainReplica,
    ReplaceMembers,
    RetireReplica,
    plan,
    plan_orders,
)
from tests.lib.sample_instances import (
    DOMAIN,
    idle_reports,
    make_instances,
    make_spec,
    ready_reports,
)


def _apply(state: DomainState) -> DomainState:
    """Apply a plan as the table would."""
    rows = dict(state.rows)
    for action in plan(state):
        match action:
            case RetireReplica():
                rows.pop(action.row.id)
            case _:
                rows[action.row.id] = action.row
    owners = {member: row.id for row in rows.values() for member in row.members}
    return attrs.evolve(state, rows=rows, owners=owners)


def _follow_orders(state: DomainState) -> DomainState:
    """Let every reporting instance follow its orders at once."""
    reports = dict(state.reports)
    for order in plan_orders(state):
        if order.row is None:
            reports.update(idle_reports([order.instance.id]))
        else:
            report = ready_reports(order.row)[order.instance.id]
            reports[order.instance.id] = report
    return attrs.evolve(state, reports=reports)


def _empty_state(count: int, replicas: int, fabrics: int = 1) -> DomainState:
    instances = make_instances(count, fabrics)
    return DomainState(
        DOMAIN,
        (make_spec(replicas),),
        {},
        {},
        instances,
        idle_reports(instances),
    )


def _lose(state: DomainState, names: set[str]) -> DomainState:
    reports = {
        name: report
        for name, report in state.reports.items()
        if name not in names
    }
    return attrs.evolve(state, reports=reports, lost=frozenset(names))


class PlanTest(unittest.TestCase):
    """What the placer decides for a failure domain."""

    @given(
        st.integers(0, 24),
        st.integers(0, 6),
        st.integers(1, 3),
        st.lists(st.sets(st.integers(0, 23)), max_size=4),
    )
    def test_no_instance_is_owned_twice(
        self,
        count: int,
        replicas: int,
        fabrics: int,
        losses: list[set[int]],
    ) -> None:
        """Replicas stay within a fabric domain and the declared number."""
        state = _empty_state(count, replicas, fabrics)
        for lost in (set[int](), *losses):
            state = _lose(state, {f'e{number:02}' for number in lost})
            state = _follow_orders(_apply(state))
            self._check(state, replicas)

    def test_spare_replaces_a_lost_member(self) -> None:
        """The replica continues in a new generation."""
        state = _follow_orders(_apply(_empty_state(5, 1)))
        actions = plan(_lose(state, {'e01'}))
        self.assertEqual(len(actions), 1)
        action = actions[0]
        assert isinstance(action, ReplaceMembers)
        self.assertEqual(action.row.members, ('e00', 'e04', 'e02', 'e03'))
        self.assertEqual(action.row.generation, 2)

    def test_without_spare_the_replica_is_dissolved(self) -> None:
        """Its instances are released rather than stranded."""
        state = _follow_orders(_apply(_empty_state(4, 1)))
        actions = plan(_lose(state, {'e01'}))
        self.assertEqual([type(action) for action in actions], [RetireReplica])

    def test_members_return_after_their_replica_was_dissolved(self) -> None:
        """They become idle before they join another replica."""
        state = _follow_orders(_apply(_empty_state(4, 1)))
        returned = attrs.evolve(state, rows={}, owners={})
        self.assertEqual(plan(returned), [])
        self.assertEqual(
            [(order.instance.id, order.row) for order in plan_orders(returned)],
            [(name, None) for name in state.instances],
        )

    def test_leaving_member_waits_for_work_to_end(self) -> None:
        """Requests in flight are never cut off by a planned leave."""
        state = _follow_orders(_apply(_empty_state(5, 1)))
        reports = dict(state.reports)
        reports['e02'] = attrs.evolve(reports['e02'], draining=True)
        reports['e00'] = attrs.evolve(reports['e00'], running=3)
        state = attrs.evolve(
            state, reports=reports, quiesced=frozenset(('e02',))
        )
        self.assertEqual(plan(state), [])
        reports['e00'] = attrs.evolve(reports['e00'], running=0)
        actions = plan(attrs.evolve(state, reports=reports))
        self.assertEqual([type(action) for action in actions], [ReplaceMembers])

    def test_a_broken_replica_restarts_as_a_whole(self) -> None:
        """Its members are kept in a new generation."""
        state = _follow_orders(_apply(_empty_state(4, 1)))
        reports = dict(state.reports)
        reports['e00'] = attrs.evolve(
            reports['e00'],
            state=MemberState.BROKEN,
        )
        actions = plan(attrs.evolve(state, reports=reports))
        self.assertEqual([action.row.generation for action in actions], [2])

    def test_a_busy_instance_is_not_free(self) -> None:
        """An instance must have left its replica before it joins another."""
        state = _empty_state(4, 1)
        stray = ReplicaRow('x', 'm', 'v', 1, ('e00', 'e01'), DOMAIN, 'f0')
        reports = {**state.reports, **ready_reports(stray)}
        state = attrs.evolve(state, reports=reports)
        self.assertEqual(plan(state), [])
        self.assertEqual(
            [order.instance.id for order in plan_orders(state)],
            ['e00', 'e01'],
        )

    def _check(self, state: DomainState, replicas: int) -> None:
        members = Counter(
            member for row in state.rows.values() for member in row.members
        )
        self.assertTrue(all(number == 1 for number in members.values()))
        self.assertLessEqual(len(state.rows), replicas)
        for row in state.rows.values():
            fabrics = {
                state.instances[member].fabric_domain for member in row.members
            }
            self.assertEqual(len(fabrics), 1)


class RollingUpdateTest(unittest.TestCase):
    """A new version replaces the old one."""

    def test_with_room_the_old_stays_until_the_new_serves(self) -> None:
        """There is always a replica that serves."""
        state = _follow_orders(_apply(_empty_state(8, 1)))
        new = attrs.evolve(state, models=(make_spec(1, version='v2'),))
        self.assertEqual(
            [type(action) for action in plan(new)], [CreateReplica]
        )
        new = _apply(new)
        self.assertEqual(plan(new), [])
        new = _follow_orders(new)
        self.assertEqual([type(action) for action in plan(new)], [DrainReplica])

    def test_without_room_one_drains_at_a_time(self) -> None:
        """Of two old replicas one continues to serve."""
        state = _follow_orders(_apply(_empty_state(8, 2)))
        new = attrs.evolve(state, models=(make_spec(2, version='v2'),))
        self.assertEqual([type(action) for action in plan(new)], [DrainReplica])
        draining = _follow_orders(_apply(new))
        self.assertEqual(plan(draining), [])
