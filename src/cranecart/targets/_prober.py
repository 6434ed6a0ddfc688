"""Ask instances how they are, one task for each."""

import logging
import random
from collections.abc import Callable, Collection

import attrs
import curio

from cranecart.clocks import since_boot
from cranecart.exceptions import TargetError
from cranecart.instances import MemberReport
from cranecart.targets._book import ReportBook
from cranecart.targets._probe_link import ProbeLink
from cranecart.targets._reports import Probe, Reach, is_material

_LOG = logging.getLogger(__name__)
# A process that dies is noticed at once, by its closed connection; the
# period counts for those that hang or whose machine is gone.
PROBE_SECONDS = 2.0
_TICK_SECONDS = 0.25
_FIRST_SECONDS = 0.3
_JITTER = 0.2
_HANDOVER_SECONDS = 3.0
_MAX_PER_SECOND = 300


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
            self._drop_crashed()
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

    def _drop_crashed(self) -> None:
        """Forget probes that ended by themselves; they are begun anew."""
        crashed = [
            name for name, task in self._tasks.items() if task.terminated
        ]
        for name in crashed:
            task = self._tasks.pop(name)
            _LOG.error('the probe of %s crashed', name, exc_info=task.exception)

    def _no_longer_wanted(self, wanted: Collection[str]) -> list[str]:
        """Return whose probing may end, as others have taken over by now."""
        now = since_boot()
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
        await curio.sleep(self._random.random() * _FIRST_SECONDS)
        link = ProbeLink()
        try:
            while True:
                await self._probe_once(name, link)
                jitter = 1 + _JITTER * (self._random.random() - 1 / 2)
                await link.idle(self._interval() * jitter)
        finally:
            await link.close()

    def _interval(self) -> float:
        # A node cut off from all others asks every instance itself, and
        # then more slowly, though still within the time a report counts.
        return max(PROBE_SECONDS, len(self._tasks) / _MAX_PER_SECOND)

    async def _probe_once(self, name: str, link: ProbeLink) -> None:
        instance = self._book.instances.get(name)
        if instance is None:
            return
        try:
            report = await link.fetch(instance)
        except TargetError as error:
            _LOG.debug('%s did not answer: %s', name, error)
            self._book.note_unreachable(name)
            self._tell(name, None)
        else:
            self._book.note(report)
            self._tell(name, report)

    def _tell(self, name: str, report: MemberReport | None) -> None:
        """Let other nodes hear of the first report and of changes."""
        if name not in self._told or is_material(self._told[name], report):
            self._told[name] = report
            reach = Reach.SILENT if report is None else Reach.ANSWERED
            self._noted(name, Probe(reach, report))
