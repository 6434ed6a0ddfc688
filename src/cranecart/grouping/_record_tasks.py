"""Run one task for each record that needs work."""

import attrs
import curio

from cranecart.fleet import Fleet, RecordState, ReplicaRecord
from cranecart.grouping._context import PlacerContext
from cranecart.grouping._formation import ReplicaFormation
from cranecart.grouping._record_store import RecordStore
from cranecart.grouping._teardown import ReplicaTeardown


@attrs.define
class _Running:
    state: RecordState
    task: curio.Task


@attrs.define
class RecordTasks:
    """Starts tasks for records; replaces one when the state changes."""

    _fleet: Fleet
    _context: PlacerContext
    _record_store: RecordStore
    _stall_seconds: float
    _running: dict[str, _Running] = attrs.field(factory=dict, init=False)

    async def reconcile(self, records: list[ReplicaRecord]) -> None:
        """Make sure that a task runs for each record that needs one."""
        for record in records:
            if await self._has_task(record) or not self._needs_task(record):
                continue
            task = await curio.spawn(self._make_task(record).run, daemon=True)
            self._running[record.name] = _Running(record.state, task)
        for name in self._running.keys() - {record.name for record in records}:
            self._running.pop(name)

    async def _has_task(self, record: ReplicaRecord) -> bool:
        running = self._running.get(record.name)
        if running is None or running.task.terminated:
            return False
        if running.state is record.state:
            return True
        await running.task.cancel()
        return False

    def _needs_task(self, record: ReplicaRecord) -> bool:
        if record.state is not RecordState.SERVING:
            return True
        return not self._fleet.is_open(record)

    def _make_task(
        self, record: ReplicaRecord
    ) -> ReplicaFormation | ReplicaTeardown:
        if record.state is RecordState.SERVING:
            return ReplicaFormation(record, self._fleet, self._context)
        return ReplicaTeardown(
            record,
            self._fleet,
            self._context,
            self._record_store,
            self._stall_seconds,
        )
