"""Probe instances for their reports, with one task for each."""

import logging
import random
from collections.abc import Callable, Collection

import attrs
import curio

from cranecart.clocks import since_boot
from cranecart.exceptions import TargetError
from cranecart.instances import MemberReport
from cranecart.targets._probe_connection import ProbeConnection
from cranecart.targets._report_registry import ReportRegistry
from cranecart.targets._reports import (
    ProbeOutcome,
    ProbeResult,
    is_significant_change,
)

_LOG = logging.getLogger(__name__)
# A process that dies is detected at once by its closed connection; the interval
# matters for processes that hang and machines that fail.
PROBE_INTERVAL_SECONDS = 2.0
_TICK_SECONDS = 0.25
_MAX_INITIAL_DELAY_SECONDS = 0.3
_JITTER_FRACTION = 0.2
_HANDOVER_SECONDS = 3.0
_MAX_PROBES_PER_SECOND = 300


@attrs.define
class Prober:
    """Probes the instances that are assigned to this node.

    ``_assigned`` returns their ids, ``_publish`` sends significant changes of a
    result to the other nodes.
    """

    _reports: ReportRegistry
    _assigned: Callable[[], Collection[str]]
    _random: random.Random
    _publish: Callable[[str, ProbeResult], None]
    _tasks: dict[str, curio.Task] = attrs.field(factory=dict, init=False)
    _last_published: dict[str, MemberReport | None] = attrs.field(
        factory=dict,
        init=False,
    )
    _unassigned_since: dict[str, float] = attrs.field(
        factory=dict,
        init=False,
    )

    async def run(self) -> None:
        """Start and stop probing as the assigned instances change."""
        while True:
            self._reports.tick()
            assigned = set(self._assigned())
            self._discard_crashed()
            for instance_id in assigned - self._tasks.keys():
                self._tasks[instance_id] = await curio.spawn(
                    self._probe,
                    instance_id,
                    daemon=True,
                )
            for instance_id in self._handed_over(assigned):
                await self._tasks.pop(instance_id).cancel()
                self._last_published.pop(instance_id, None)
                self._reports.remove_observation(instance_id)
                self._publish(instance_id, ProbeResult(ProbeOutcome.NOT_ASKED))
            await curio.sleep(_TICK_SECONDS)

    def _discard_crashed(self) -> None:
        """Discard tasks that ended with an error; they are started again."""
        crashed = [
            instance_id
            for instance_id, task in self._tasks.items()
            if task.terminated
        ]
        for instance_id in crashed:
            task = self._tasks.pop(instance_id)
            _LOG.error(
                'the probe of %s crashed', instance_id, exc_info=task.exception
            )

    def _handed_over(self, assigned: Collection[str]) -> list[str]:
        """Return the instances that other nodes have taken over by now."""
        now = since_boot()
        self._unassigned_since = {
            instance_id: self._unassigned_since.get(instance_id, now)
            for instance_id in self._tasks
            if instance_id not in assigned
        }
        return [
            instance_id
            for instance_id, since in self._unassigned_since.items()
            if now - since > _HANDOVER_SECONDS
        ]

    async def _probe(self, instance_id: str) -> None:
        await curio.sleep(self._random.random() * _MAX_INITIAL_DELAY_SECONDS)
        connection = ProbeConnection()
        try:
            while True:
                await self._probe_once(instance_id, connection)
                jitter = 1 + _JITTER_FRACTION * (self._random.random() - 1 / 2)
                await connection.sleep(self._interval() * jitter)
        finally:
            await connection.close()

    def _interval(self) -> float:
        # A node that is cut off from all others probes every instance itself.
        # It does so more slowly then, but within the validity of a report.
        return max(
            PROBE_INTERVAL_SECONDS, len(self._tasks) / _MAX_PROBES_PER_SECOND
        )

    async def _probe_once(
        self, instance_id: str, connection: ProbeConnection
    ) -> None:
        instance = self._reports.instances.get(instance_id)
        if instance is None:
            return
        try:
            report = await connection.fetch(instance)
        except TargetError as error:
            _LOG.debug('%s did not answer: %s', instance_id, error)
            self._reports.record_unreachable(instance_id)
            self._publish_change(instance_id, None)
        else:
            self._reports.record_report(report)
            self._publish_change(instance_id, report)

    def _publish_change(
        self, instance_id: str, report: MemberReport | None
    ) -> None:
        """Publish the first result and significant changes."""
        if instance_id not in self._last_published or is_significant_change(
            self._last_published[instance_id], report
        ):
            self._last_published[instance_id] = report
            outcome = (
                ProbeOutcome.SILENT if report is None else ProbeOutcome.ANSWERED
            )
            self._publish(instance_id, ProbeResult(outcome, report))
