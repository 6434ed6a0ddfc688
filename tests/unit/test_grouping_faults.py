"""Random faults against a placer: no replica overlaps or is incomplete."""

import unittest
from collections.abc import Iterable

import attrs
import curio
from hypothesis import example, given, settings
from hypothesis import strategies as st

from cranecart.fleet import (
    Fleet,
    RecordState,
    ReplicaRecord,
    record_from_row,
    records_prefix,
)
from cranecart.ports import Row
from tests.lib.fake_engines import DOMAIN, listed_instance
from tests.lib.fake_platform import LOST_RESPONSE, LOST_WRITE, NO_FAULT, REFUSED
from tests.lib.waiting import until
from tests.unit.test_grouping import PlacerTestbed

_STEP_SECONDS = 0.06
# Longer than a takeover and the time after which a head without a member is
# broken.
_PAUSE_SECONDS = 1.5
TableSnapshot = tuple[int, dict[str, Row]]
_INSTANCES = 9
_STORE_FAULTS = (
    REFUSED,
    NO_FAULT,
    LOST_RESPONSE,
    NO_FAULT,
    LOST_WRITE,
    REFUSED,
)

_fault_events = st.lists(
    st.tuples(
        st.sampled_from(
            (
                'unreachable',
                'terminated',
                'leaving',
                'lost answer',
                'store',
                'new',
                'placer',
            ),
        ),
        st.integers(0, _INSTANCES - 1),
    ),
    max_size=8,
)


_restore_events = st.lists(
    st.tuples(
        st.sampled_from(
            (
                'snapshot',
                'restore',
                'restore',
                'new node',
                'unreachable',
                'leaving',
                'new',
                'store',
                'placer',
            ),
        ),
        st.integers(0, _INSTANCES - 1),
    ),
    max_size=8,
)


_lapse_events = st.lists(
    st.tuples(
        st.sampled_from(
            (
                'cut off',
                'cut replica off',
                'reconnect',
                'reconnect all',
                'pause',
                'new node',
                'leaving',
            ),
        ),
        st.integers(0, _INSTANCES - 1),
    ),
    max_size=8,
)


_LAPSE_OF_A_REPLICA = (
    ('cut replica off', 0),
    ('new node', 0),
    ('pause', 0),
    ('reconnect all', 0),
)


@attrs.define
class _FaultScenario:
    """A testbed, and the faults that are injected one after the other."""

    testbed: PlacerTestbed
    events: list[tuple[str, int]]
    running: curio.Task | None = None
    snapshot: TableSnapshot = (0, {})
    has_reconnected: bool = False

    async def run(self) -> None:
        """Form replicas, inject the faults, and wait for a stable state."""
        testbed = self.testbed
        self.running = await curio.spawn(testbed.placer.run)
        await until(lambda: len(testbed.heads()) == 2)
        for kind, number in self.events:
            await self._inject(kind, f'i{number}')
            await curio.sleep(_STEP_SECONDS)
        testbed.table.faults = iter(())
        if testbed.engines.cut_off_names or self.has_reconnected:
            self._reconnect(testbed.engines.cut_off_names)
            # Members that have returned are used only after a while.
            await curio.sleep(_PAUSE_SECONDS)
        await until(self._is_stable, 12)
        await self.running.cancel()

    async def _inject(self, kind: str, name: str) -> None:
        testbed = self.testbed
        instance = testbed.fleet.instances.get(name)
        match kind:
            case 'unreachable':
                testbed.lose(name)
            case 'terminated' if instance is not None:
                testbed.engines.terminated.add(name)
                testbed.fleet.apply_instances({name: None}, False)
                testbed.placer.failure_detector.report_lost(
                    name, 'reported by the test'
                )
            case 'leaving' if instance is not None:
                leaving = attrs.evolve(instance, leaving=True)
                testbed.fleet.apply_instances({name: leaving}, False)
            case 'lost answer':
                testbed.engines.dropping_answers.add(name)
            case 'store':
                testbed.table.faults = iter(_STORE_FAULTS)
            case 'new':
                new_instance = listed_instance(
                    f'n{len(testbed.fleet.instances)}', testbed.address
                )
                testbed.fleet.apply_instances(
                    {new_instance.id: new_instance}, False
                )
            case 'placer':
                await self._replace_placer()
            case _:
                await self._inject_table_fault(kind)
                await self._inject_lapse(kind, name)

    async def _inject_table_fault(self, kind: str) -> None:
        testbed = self.testbed
        match kind:
            case 'snapshot':
                self.snapshot = testbed.table.snapshot_rows()
            case 'restore':
                testbed.table.restore(self.snapshot)
                testbed.fleet.apply_records(self._rows(), False)
            case 'new node':
                await self._restart_with_empty_fleet()

    async def _inject_lapse(self, kind: str, name: str) -> None:
        testbed = self.testbed
        match kind:
            case 'cut off':
                self._cut_off((name,))
            case 'cut replica off':
                for record in testbed.fleet.replica_records.records_with_member(
                    name
                ):
                    self._cut_off(record.members)
            case 'reconnect':
                self._reconnect(testbed.engines.cut_off_names[:1])
            case 'reconnect all':
                self._reconnect(testbed.engines.cut_off_names)
            case 'pause':
                await curio.sleep(_PAUSE_SECONDS)

    def _cut_off(self, names: Iterable[str]) -> None:
        for name in names:
            if name in self.testbed.fleet.instances:
                self.testbed.engines.cut_off(name)

    def _reconnect(self, names: Iterable[str]) -> None:
        for name in names:
            self.has_reconnected = True
            self.testbed.engines.reconnect(name)

    def _rows(self) -> dict[str, ReplicaRecord]:
        """Return the records that a node reads from the table."""
        prefix = records_prefix(DOMAIN)
        read = {
            key: record_from_row(row)
            for key, row in self.testbed.table.rows.items()
            if key.startswith(prefix)
        }
        return {
            key: record for key, record in read.items() if record is not None
        }

    async def _restart_with_empty_fleet(self) -> None:
        """Kill the placer; the next one has only the list and the rows."""
        testbed = self.testbed
        current_instances = dict(testbed.fleet.instances)
        testbed.fleet = Fleet()
        testbed.fleet.apply_instances(current_instances, True)
        testbed.fleet.apply_records(self._rows(), True)
        testbed.engines.fleet = testbed.fleet
        testbed.has_traffic = True
        await self._replace_placer()

    async def _replace_placer(self) -> None:
        """Kill the placer without a handover; another one takes over."""
        testbed = self.testbed
        assert self.running is not None
        await self.running.cancel()
        lost = testbed.placer.failure_detector.lost_instances()
        testbed.placer = testbed.make_placer(f'{len(lost)}-{id(self.running)}')
        for name in lost:
            testbed.placer.failure_detector.report_lost(
                name, 'reported by the test'
            )
        self.running = await curio.spawn(testbed.placer.run)

    def _is_stable(self) -> bool:
        records = self.testbed.fleet.records.values()
        serving = {head.replica for head in self.testbed.heads()}
        return bool(self.testbed.placer.held_failure_domain) and all(
            record.state is RecordState.SERVING and record.name in serving
            for record in records
        )


class GroupingFaultsTest(unittest.TestCase):
    """Any faults in any order."""

    @settings(max_examples=10, deadline=None)
    @given(_fault_events)
    def test_no_overlap_and_no_partial_replica(
        self,
        events: list[tuple[str, int]],
    ) -> None:
        """In the end each recorded replica serves."""
        self._run_scenario(events)

    @settings(max_examples=10, deadline=None)
    @given(_restore_events)
    def test_no_overlap_after_table_restores(
        self,
        events: list[tuple[str, int]],
    ) -> None:
        """The table is restored from a copy, and nodes start without state."""
        self._run_scenario(events)

    @settings(max_examples=10, deadline=None)
    @given(_lapse_events)
    @example(list(_LAPSE_OF_A_REPLICA))
    def test_no_overlap_after_lapses(
        self,
        events: list[tuple[str, int]],
    ) -> None:
        """Members lapse and return, and nodes start that never listed them."""
        self._run_scenario(events)

    def _run_scenario(self, events: list[tuple[str, int]]) -> None:
        testbed = PlacerTestbed()
        try:
            curio.run(_FaultScenario(testbed, events).run)
        finally:
            testbed.listener.close()
        self.assertEqual(testbed.engines.violations, [])
        members = [
            name
            for record in testbed.fleet.records.values()
            for name in record.members
        ]
        self.assertEqual(len(members), len(set(members)))
