"""Ask instances how they are, one task for each."""

import logging
import random
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

_LOG = logging.getLogger(__name__)
_PROBE_SECONDS = 0.5
_ANSWER_SECONDS = 0.8
_TICK_SECONDS = 0.25
_JITTER = 0.2


@attrs.frozen
class _ServiceStatus:
    draining: bool = False


@attrs.define
class Prober:
    """Probes the instances that this node answers for."""

    _book: ReportBook
    _mine: Callable[[], Collection[str]]
    _random: random.Random
    _noted: Callable[[str, MemberReport | None], None]
    _tasks: dict[str, curio.Task] = attrs.field(factory=dict, init=False)

    async def run(self) -> None:
        """Start and stop probes as instances come and go."""
        while True:
            self._book.tick()
            wanted = set(self._mine())
            for name in self._tasks.keys() - wanted:
                await self._tasks.pop(name).cancel()
            for name in wanted - self._tasks.keys():
                self._tasks[name] = await curio.spawn(
                    self._probe,
                    name,
                    daemon=True,
                )
            await curio.sleep(_TICK_SECONDS)

    async def _probe(self, name: str) -> None:
        await curio.sleep(self._random.random() * _PROBE_SECONDS)
        while True:
            instance = self._book.instances.get(name)
            if instance is not None:
                await self._probe_once(instance)
            jitter = 1 + _JITTER * (self._random.random() - 1 / 2)
            await curio.sleep(_PROBE_SECONDS * jitter)

    async def _probe_once(self, instance: Instance) -> None:
        try:
            report = await fetch_report(instance)
        except TargetError as error:
            _LOG.debug('%s did not answer: %s', instance.id, error)
            self._book.note_unreachable(instance.id)
            self._noted(instance.id, None)
        else:
            self._book.note(report)
            self._noted(instance.id, report)


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
