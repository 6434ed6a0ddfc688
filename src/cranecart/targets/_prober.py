"""Ask instances how they are, one task for each."""

import logging
import random
import time
from collections.abc import Callable, Collection

import attrs
import curio
import msgspec

from cranecart.exceptions import TargetError
from cranecart.http import Request
from cranecart.models import (
    Instance,
    InstanceKind,
    MemberReport,
    MemberState,
)
from cranecart.targets._book import ReportBook
from cranecart.targets._engine import ask, read_report
from cranecart.targets._reports import Probe, Reach, is_material

_LOG = logging.getLogger(__name__)
_PROBE_SECONDS = 0.5
_ANSWER_SECONDS = 0.8
_TICK_SECONDS = 0.25
_JITTER = 0.2
_HANDOVER_SECONDS = 3.0
_MAX_PER_SECOND = 300


@attrs.frozen
class _ServiceStatus:
    draining: bool = False


@attrs.define
class Prober:
    """Probes the instances that this node answers for."""

    _book: ReportBook
    _mine: Callable[[], Collection[str]]
    _random: random.Random
    _noted: Callable[[str, Probe], None]
    _tasks: dict[str, curio.Task] = attrs.field(factory=dict, init=False)
    _told: dict[str, MemberReport | None] = attrs.field(
        factory=dict,
        init=False,
    )
    _unwanted_since: dict[str, float] = attrs.field(
        factory=dict,
        init=False,
    )

    async def run(self) -> None:
        """Start and stop probes as instances and nodes come and go."""
        while True:
            self._book.tick()
            wanted = set(self._mine())
            for name in wanted - self._tasks.keys():
                self._tasks[name] = await curio.spawn(
                    self._probe,
                    name,
                    daemon=True,
                )
            for name in self._no_longer_wanted(wanted):
                await self._tasks.pop(name).cancel()
                self._told.pop(name, None)
                self._book.withdraw(name)
                self._noted(name, Probe(Reach.NOT_ASKED))
            await curio.sleep(_TICK_SECONDS)

    def _no_longer_wanted(self, wanted: Collection[str]) -> list[str]:
        """Return whose probing may end, as others have taken over by now."""
        now = time.monotonic()
        self._unwanted_since = {
            name: self._unwanted_since.get(name, now)
            for name in self._tasks
            if name not in wanted
        }
        return [
            name
            for name, since in self._unwanted_since.items()
            if now - since > _HANDOVER_SECONDS
        ]

    async def _probe(self, name: str) -> None:
        await curio.sleep(self._random.random() * _PROBE_SECONDS)
        while True:
            instance = self._book.instances.get(name)
            if instance is not None:
                await self._probe_once(instance)
            jitter = 1 + _JITTER * (self._random.random() - 1 / 2)
            await curio.sleep(self._interval() * jitter)

    def _interval(self) -> float:
        # A node cut off from all others asks every instance itself, and
        # then more slowly, though still within the time a report counts.
        return max(_PROBE_SECONDS, len(self._tasks) / _MAX_PER_SECOND)

    async def _probe_once(self, instance: Instance) -> None:
        try:
            report = await fetch_report(instance)
        except TargetError as error:
            _LOG.debug('%s did not answer: %s', instance.id, error)
            self._book.note_unreachable(instance.id)
            self._tell(instance.id, None)
        else:
            self._book.note(report)
            self._tell(instance.id, report)

    def _tell(self, name: str, report: MemberReport | None) -> None:
        """Let other nodes hear of the first report and of changes."""
        if name not in self._told or is_material(self._told[name], report):
            self._told[name] = report
            reach = Reach.SILENT if report is None else Reach.ANSWERED
            self._noted(name, Probe(reach, report))


async def fetch_report(instance: Instance) -> MemberReport:
    """Ask one instance for its report; raise ``TargetError``."""
    response = await ask(instance, Request('GET', '/status'), _ANSWER_SECONDS)
    if instance.kind is InstanceKind.ENGINE:
        return read_report(instance, response)
    status = msgspec.json.decode(response.body, type=_ServiceStatus)
    return MemberReport(
        instance.id,
        MemberState.READY,
        draining=status.draining,
    )
