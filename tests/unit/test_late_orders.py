"""Orders that got no answer and are carried out after newer ones."""

import unittest
from collections.abc import Awaitable, Callable

import attrs
import curio
from hypothesis import given, settings
from hypothesis import strategies as st

from cranecart.fleet import RecordState, ReplicaRecord
from cranecart.grouping._orphans import OrphanedReplicas
from cranecart.ports import MemberPhase, Membership
from tests.lib.fake_clock import FakeClock
from tests.lib.fake_engines import DOMAIN, listed_instance
from tests.lib.late_engines import LateEngines
from tests.lib.waiting import until
from tests.unit.test_grouping import PlacerTestbed

_SIZE = 3
_STALL_SECONDS = 0.4
_SETTLE_SECONDS = 0.3
_FORM_SECONDS = 4.0
# After how long an engine may carry out an order at the latest.
_LATEST_ORDER_SECONDS = 12.0
# Orders of which an instance may leave an answer out, and how many of them.
_OPERATIONS = ('join', 'open', 'close', 'leave')
_MAX_LATE_ORDERS = 4
_INSTANCES = 6
_STEP_SECONDS = 0.1

Scenario = Callable[[PlacerTestbed, LateEngines], Awaitable[None]]


@attrs.define
class LateOnce:
    """Selects the first order of each of some operations to an instance.

    Without a name, the first instance that an operation is for counts.
    """

    operations: set[str]
    name: str = ''

    def __call__(self, operation: str, name: str, _replica: str) -> bool:
        """Return whether an order is late."""
        is_selected = name == self.name and operation in self.operations
        self.operations -= {operation} if is_selected else set()
        return is_selected


class LateOrdersTest(unittest.TestCase):
    """A replica that was ended does not serve again with members of others."""

    def test_head_reopened_by_late_orders(self) -> None:
        """A head that has left does not join and open its replica again."""
        self._run(self._reopen_head)

    def test_broken_head_reopened_by_late_orders(self) -> None:
        """A broken head does not become sound again after its members left."""
        self._run(self._reopen_broken_head)

    def test_replica_whole_again_by_a_late_join(self) -> None:
        """A member that was released does not return to a head that serves."""
        self._run(self._return_to_head)

    def test_head_opened_late_after_the_replica_was_given_up(self) -> None:
        """No member joins elsewhere that is listed under an unopened head."""
        self._run(self._open_late)

    def test_order_cancelled_before_its_answer(self) -> None:
        """An order whose sending was cancelled may be carried out as well."""
        self._run(self._cancel_open)

    def test_head_reopened_after_the_placer_was_killed(self) -> None:
        """Orders of an earlier holder of the lease are stale as well."""
        self._run(self._replace_placer)

    def test_head_of_an_ended_replica_taken_for_free(self) -> None:
        """An open head without a record is ended before it joins anything.

        Where engines do not check fencing tokens, late orders open it again.
        """
        self._run(self._reopen_without_fencing)

    def test_ended_replica_unknown_to_the_next_placer(self) -> None:
        """A placer that takes over knows which replicas ended before."""
        self._run(self._reopen_after_handover)

    def test_replica_opened_long_after_a_takeover(self) -> None:
        """A replica without a record is found until late orders are over."""
        testbed = PlacerTestbed()
        self.addCleanup(testbed.listener.close)
        clock = FakeClock()
        orphans = OrphanedReplicas(DOMAIN, testbed.fleet, clock)
        orphans.watch()
        clock.now += _LATEST_ORDER_SECONDS
        head = attrs.evolve(
            testbed.fleet.instances['i0'],
            membership=Membership('r', 1, 0, MemberPhase.OPEN),
        )
        testbed.fleet.apply_instances({head.id: head}, False)
        self.assertEqual(orphans.members(), {head.id})

    def test_fencing_token_advanced_without_need(self) -> None:
        """Where all orders are answered, the token stays the same."""
        self._run(self._answer_all_orders)

    @settings(max_examples=15, deadline=None)
    @given(
        late=st.lists(
            st.tuples(
                st.sampled_from(_OPERATIONS), st.integers(0, _INSTANCES - 1)
            ),
            max_size=_MAX_LATE_ORDERS,
        ),
        leaving=st.integers(0, _INSTANCES - 1),
        steps=st.integers(0, 8),
    )
    def test_drawn_late_orders(
        self, late: list[tuple[str, int]], leaving: int, steps: int
    ) -> None:
        """No instance joins while it may serve, and none is held for good."""

        async def scenario(  # noqa: WPS430
            testbed: PlacerTestbed, engines: LateEngines
        ) -> None:
            await _add(testbed, 'b', _INSTANCES - _SIZE)
            remaining = list(late)

            def is_late(operation: str, name: str, _replica: str) -> bool:  # noqa: WPS430
                number = sorted(testbed.fleet.instances).index(name)
                if (operation, number) not in remaining:
                    return False
                remaining.remove((operation, number))
                return True

            engines.is_late = is_late
            await until(lambda: _open_replicas(testbed) == 2, _FORM_SECONDS)
            names = sorted(testbed.fleet.instances)
            _drain(testbed, names[leaving])
            await curio.sleep(steps * _STEP_SECONDS)
            await engines.carry_out_delayed()
            await curio.sleep(_SETTLE_SECONDS)
            testbed.fleet.apply_instances({names[leaving]: None}, False)
            await _add(testbed, 'c', 1)
            await until(lambda: _open_replicas(testbed) == 2, _FORM_SECONDS)

        self._run(scenario)

    async def _reopen_head(
        self, testbed: PlacerTestbed, engines: LateEngines
    ) -> None:
        record = await _form(testbed, engines, {'join', 'open'})
        await _end(testbed, record)
        await _form_after_late_orders(testbed, engines, record)

    async def _reopen_broken_head(
        self, testbed: PlacerTestbed, engines: LateEngines
    ) -> None:
        record = await _form(testbed, engines, {'join', 'open'})
        _drain(testbed, record.members[-1])
        engines.break_head(record.head)
        await until(lambda: not testbed.fleet.records)
        testbed.fleet.apply_instances({record.members[-1]: None}, False)
        await _form_after_late_orders(testbed, engines, record)

    async def _return_to_head(
        self, testbed: PlacerTestbed, engines: LateEngines
    ) -> None:
        member = 'a1'
        engines.is_late = LateOnce({'join'}, member)
        await until(lambda: _open_replicas(testbed) == 1)
        record = next(iter(testbed.fleet.records.values()))
        if member == record.head:
            member = record.members[1]
        testbed.lose(record.head)
        await until(
            lambda: (
                testbed.fleet.instances[member].membership is None
                or ('leave', member) in engines.orders
            )
        )
        await engines.carry_out_delayed()
        await until(lambda: not testbed.fleet.records)
        await _add(testbed, 'b', 1)
        await until(lambda: _open_replicas(testbed) == 1, _FORM_SECONDS)

    async def _open_late(
        self, testbed: PlacerTestbed, engines: LateEngines
    ) -> None:
        record = await _record_of(testbed)
        engines.is_late = lambda operation, _name, _replica: operation == 'open'
        await until(lambda: bool(engines.delayed))
        engines.delayed = engines.delayed[:1]
        testbed.lose(record.head)
        await until(lambda: not testbed.fleet.records, _FORM_SECONDS)
        engines.unreachable.discard(record.head)
        # From then on the head would stand still for that long.
        engines.stall_seconds = _FORM_SECONDS
        await engines.carry_out_delayed()
        engines.is_late = lambda *_order: False
        await _add(testbed, 'b', 1)
        await until(lambda: _open_replicas(testbed) >= 1, _FORM_SECONDS)

    async def _cancel_open(
        self, testbed: PlacerTestbed, engines: LateEngines
    ) -> None:
        engines.timeout_seconds = _STALL_SECONDS
        _delay_once(testbed, engines, {'join', 'open'})
        record = await _record_of(testbed)
        await until(lambda: len(engines.delayed) == 2)
        await _end(testbed, record)
        await _form_after_late_orders(testbed, engines, record)

    async def _replace_placer(
        self, testbed: PlacerTestbed, engines: LateEngines
    ) -> None:
        record = await _form(testbed, engines, {'join', 'open'})
        await _stop(testbed)
        testbed.placer = testbed.make_placer('two')
        testbed.running = await curio.spawn(testbed.placer.run)
        await until(lambda: testbed.placer.held_failure_domain)
        await _end(testbed, record)
        await _form_after_late_orders(testbed, engines, record)

    async def _reopen_without_fencing(
        self, testbed: PlacerTestbed, engines: LateEngines
    ) -> None:
        engines.ignores_fencing = True
        record = await _form(testbed, engines, {'join', 'open'})
        await _end(testbed, record)
        await curio.sleep(_SETTLE_SECONDS)
        await _form_after_late_orders(testbed, engines, record)

    async def _reopen_after_handover(
        self, testbed: PlacerTestbed, engines: LateEngines
    ) -> None:
        engines.ignores_fencing = True
        record = await _form(testbed, engines, {'join', 'open'})
        successor = testbed.make_placer('two')
        waiting = await curio.spawn(successor.run)
        await curio.sleep(_SETTLE_SECONDS)
        await _end(testbed, record)
        await curio.sleep(_SETTLE_SECONDS)
        await _hand_over(testbed, waiting)
        await until(lambda: successor.held_failure_domain)
        await _form_after_late_orders(testbed, engines, record)

    async def _answer_all_orders(
        self, testbed: PlacerTestbed, engines: LateEngines
    ) -> None:
        record = await _record_of(testbed)
        await until(lambda: _open_replicas(testbed) == 1)
        await _end(testbed, record)
        await _form_again(testbed, record)
        tokens = {token for sent in engines.tokens.values() for token in sent}
        self.assertEqual(len(tokens), 1)

    def _run(self, scenario: Scenario) -> None:
        testbed = PlacerTestbed(LateEngines)
        self.addCleanup(testbed.listener.close)
        engines = testbed.engines
        assert isinstance(engines, LateEngines)
        curio.run(_run, testbed, engines, scenario)
        overlaps = [text for text in engines.violations if 'joined' in text]
        self.assertEqual(overlaps, [])


async def _run(
    testbed: PlacerTestbed, engines: LateEngines, scenario: Scenario
) -> None:
    testbed.fleet.apply_instances({}, True)
    await _add(testbed, 'a', _SIZE)
    testbed.has_traffic = True
    testbed.running = await curio.spawn(testbed.placer.run)
    try:
        await scenario(testbed, engines)
    finally:
        await _stop(testbed)


async def _stop(testbed: PlacerTestbed) -> None:
    """End the placer without a handover."""
    assert testbed.running is not None
    await testbed.running.cancel()


async def _hand_over(testbed: PlacerTestbed, waiting: curio.Task) -> None:
    """End the placer; another one runs already."""
    await testbed.placer.hand_over()
    await _stop(testbed)
    testbed.running = waiting


async def _add(testbed: PlacerTestbed, prefix: str, count: int) -> None:
    """Add instances with the smaller model on their hosts."""
    added = [
        attrs.evolve(
            listed_instance(f'{prefix}{number}', testbed.address),
            staged=('small',),
        )
        for number in range(count)
    ]
    testbed.fleet.apply_instances({each.id: each for each in added}, False)


async def _record_of(testbed: PlacerTestbed) -> ReplicaRecord:
    """Return the first record once it was written."""
    await until(lambda: bool(testbed.fleet.records))
    return next(iter(testbed.fleet.records.values()))


def _delay_once(
    testbed: PlacerTestbed, engines: LateEngines, operations: set[str]
) -> None:
    """Delay the first of some orders to the head of the first replica."""
    selected = LateOnce(operations)

    def is_late(operation: str, name: str, replica: str) -> bool:  # noqa: WPS430
        records = testbed.fleet.records.values()
        selected.name = next(
            (record.head for record in records if record.name == replica), ''
        )
        return selected(operation, name, replica)

    engines.is_late = is_late


async def _form(
    testbed: PlacerTestbed, engines: LateEngines, late: set[str]
) -> ReplicaRecord:
    """Form a replica whose head gets these orders late, at first."""
    _delay_once(testbed, engines, late)
    await until(lambda: _open_replicas(testbed) == 1, _FORM_SECONDS)
    return next(iter(testbed.fleet.records.values()))


async def _end(testbed: PlacerTestbed, record: ReplicaRecord) -> None:
    """Drain a member that is not the head until the record is gone."""
    _drain(testbed, record.members[-1])
    await until(lambda: record.key not in testbed.fleet.records)
    testbed.fleet.apply_instances({record.members[-1]: None}, False)


def _drain(testbed: PlacerTestbed, name: str) -> None:
    leaving = attrs.evolve(testbed.fleet.instances[name], leaving=True)
    testbed.fleet.apply_instances({name: leaving}, False)


async def _form_again(testbed: PlacerTestbed, record: ReplicaRecord) -> None:
    """Add an instance, with which the two that remain form a replica."""
    await _add(testbed, 'b', 1)
    await until(
        lambda: any(
            head.replica != record.name
            for head in testbed.fleet.heads('drafts', 'small')
        ),
        _FORM_SECONDS,
    )


async def _form_after_late_orders(
    testbed: PlacerTestbed, engines: LateEngines, record: ReplicaRecord
) -> None:
    await engines.carry_out_delayed()
    await _form_again(testbed, record)


def _open_replicas(testbed: PlacerTestbed) -> int:
    return sum(
        record.state is RecordState.SERVING and testbed.fleet.is_open(record)
        for record in testbed.fleet.records.values()
    )
