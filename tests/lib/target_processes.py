"""Processes of recorded targets, and what their records say."""

import json
import signal
import subprocess
import sys
import time
from collections import defaultdict
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Self

import attrs
import curio

from cranecart.http import Address

# Time of a resumed process to notice what happened meanwhile.
_RESUME_SECONDS = 0.1


@attrs.frozen(order=True)
class Record:
    """A line of a target: when, what happened, and to which request."""

    at: float
    what: str
    about: str


@attrs.frozen
class Run:
    """One request at one target; times are of the monotonic clock."""

    target: int
    began: float
    ended: float


@attrs.define
class TargetProcess:
    """A target's process and when it was stopped."""

    number: int
    address: Address
    process: subprocess.Popen[bytes]
    _record: Path
    pauses: list[tuple[float, float]] = attrs.field(factory=list, init=False)
    killed_at: float = attrs.field(default=float('inf'), init=False)
    _pauses_under_way: int = attrs.field(default=0, init=False)

    @classmethod
    def start(cls, number: int, folder: Path, slots: int, events: int) -> Self:
        """Start it; it is stopped by ``close``."""
        record = folder / f'target-{number}.jsonl'
        process = subprocess.Popen(
            (
                sys.executable,
                '-m',
                'tests.lib.recorded_target',
                str(record),
                str(slots),
                str(events),
            ),
            stdout=subprocess.PIPE,
        )
        assert process.stdout is not None
        address = Address.from_text(process.stdout.readline().decode().strip())
        return cls(number, address, process, record)

    async def pause(self, seconds: float) -> None:
        """Stop the process for some time; it resumes after all pauses."""
        self._pauses_under_way += 1
        self.process.send_signal(signal.SIGSTOP)
        started = time.monotonic()
        await curio.sleep(seconds)
        self.pauses.append((started, time.monotonic()))
        self._pauses_under_way -= 1
        if not self._pauses_under_way:
            self.process.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kill the process, also while it is stopped, and do not wait."""
        self.killed_at = min(self.killed_at, time.monotonic())
        self.process.kill()

    def close(self) -> None:
        """Kill the process and wait until it is gone."""
        self.kill()
        self.process.wait()
        if self.process.stdout is not None:
            self.process.stdout.close()

    def records(self) -> list[Record]:
        """Return times, what happened, and request ids."""
        if not self._record.exists():
            return []
        lines = self._record.read_text('utf-8').splitlines()
        return [Record(*json.loads(line)) for line in lines]

    def runs(self) -> Iterator[tuple[str, Run]]:
        """Yield request ids and their runs."""
        began: dict[str, list[float]] = defaultdict(list)
        for record in self.records():
            starts = began[record.about]
            if record.what == 'began':
                starts.append(record.at)
            elif record.what == 'ended':
                yield (
                    record.about,
                    Run(self.number, starts.pop(0), record.at),
                )
        for request_id, lasting in began.items():
            for started in lasting:
                yield request_id, Run(self.number, started, self.killed_at)

    def expiries(self) -> Iterator[tuple[str, float]]:
        """Yield request ids and until when the target may work on each.

        Those that it may have read late, after a pause, are left out.
        """
        arrived_at = float(0)
        for record in self.records():
            if record.what == 'arrived':
                arrived_at = record.at
            elif record.what == 'expires' and not any(
                paused <= arrived_at <= resumed + _RESUME_SECONDS
                for paused, resumed in self.pauses
            ):
                yield record.about, record.at

    def working_times(self, run: Run) -> Iterator[tuple[float, float]]:
        """Yield the parts of a run in which the process ran."""
        began = run.began
        for paused, resumed in sorted(self.pauses):
            if began < paused < run.ended:
                yield began, paused
            if began < resumed:
                began = max(began, resumed + _RESUME_SECONDS)
        if began < run.ended:
            yield began, run.ended


def repeated_arrivals(records: Iterable[Record]) -> list[float]:
    """Return when requests arrived that had arrived before, in order."""
    seen: set[str] = set()
    repeats = []
    for record in sorted(records):
        if record.what != 'arrived':
            continue
        if record.about in seen:
            repeats.append(record.at)
        seen.add(record.about)
    return repeats


def most_running(records: Iterable[Record]) -> int:
    """Return the most requests that ran at once."""
    changes = {'began': 1, 'ended': -1}
    return highest_sum(
        (record.at, changes.get(record.what, 0)) for record in records
    )


def highest_sum(changes: Iterable[tuple[float, int]]) -> int:
    """Return the highest sum of changes, each with its time."""
    highest = 0
    total = 0
    for _at, change in sorted(changes):
        total += change
        highest = max(highest, total)
    return highest
