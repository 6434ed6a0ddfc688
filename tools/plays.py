"""Play days on the users' bench and read what each of them gave."""

import itertools
import json
import subprocess
import tempfile
from collections.abc import Iterable, Iterator, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import attrs

# The longest day on the users' small sites takes two minutes.
_SECONDS = 900
# Where a day was not played, so much of what the bench printed tells why.
_LAST_SIGNS = 200


@attrs.frozen
class Play:
    """One day to play: of which sources, where, when, with which luck."""

    checkout: Path
    site: Path
    day: str
    seed: str = ''


@attrs.frozen
class Given:
    """What a play gave; ``report`` is the bench's own, empty if not played."""

    play: Play
    report: Mapping[str, Any]
    log: str = ''

    @property
    def worth(self) -> float | None:
        """Return what was earned, less prices, of what was owed."""
        return self.report.get('G')

    @property
    def rules(self) -> str:
        """Return the rules that were broken, and how often."""
        if not self.report:
            return f'not played: {self.log[-_LAST_SIGNS:]}'
        broken = {**self.report['breaks'], **self._faults()}
        return ', '.join(f'{rule} {count}' for rule, count in broken.items())

    def part(self, name: str) -> float:
        """Return a part of the requests: served, refused, or failed."""
        return float(self.report.get(name, 0))

    def by_class(self) -> Mapping[str, float]:
        """Return the worth earned by kind of request."""
        classes = self.report.get('classes', ())
        return {one['name']: one['worth'] for one in classes}

    def _faults(self) -> Mapping[str, int]:
        exits = self.report['exits_n']
        fault = self.report['fault']
        found = {'own exits': exits} if exits else {}
        return {**found, str(fault): 1} if fault else found


@attrs.frozen
class Bench:
    """The users' program, and how it is to play."""

    program: Path
    why: str
    jobs: int
    is_cpu_free: bool = False
    keeps_logs: bool = False

    def build(self, checkouts: Iterable[Path]) -> None:
        """Build each checkout once, as builds must not overlap plays."""
        for checkout in checkouts:
            subprocess.run(
                [self.program, 'build'],
                cwd=checkout,
                capture_output=True,
                check=True,
            )

    def play_all(self, plays: Sequence[Play]) -> Iterator[Given]:
        """Play days, some at a time, and yield what they gave in order."""
        with ThreadPoolExecutor(self.jobs) as pool:
            yield from pool.map(self.play, plays)

    def play(self, play: Play) -> Given:
        """Play one day."""
        with tempfile.TemporaryDirectory() as folder:
            report = Path(folder) / 'report.json'
            played = subprocess.run(
                self._command(play, report),
                cwd=play.checkout,
                stdout=subprocess.PIPE,
                # Nodes' lines and the reason of a day not played go there.
                stderr=subprocess.STDOUT,
                check=False,
                text=True,
                timeout=_SECONDS,
            )
            found = {}
            if report.exists():
                found = json.loads(report.read_text())
        return Given(play, found, played.stdout)

    def _command(self, play: Play, report: Path) -> list[str]:
        optional = {
            '--no-cpu': self.is_cpu_free,
            f'--seed={play.seed}': bool(play.seed),
            '--log=all': self.keeps_logs,
        }
        return [
            str(self.program),
            'run',
            str(play.site),
            play.day,
            *(
                part
                for option, wanted in optional.items()
                if wanted
                for part in option.split('=')
            ),
            '--report',
            str(report),
            '--why',
            self.why,
        ]


def combine(
    checkouts: Sequence[Path],
    sites: Sequence[Path],
    days: Sequence[str],
    seeds: Sequence[str],
) -> list[Play]:
    """Return every combination; those that differ by checkout are adjacent."""
    return [
        Play(checkout, site, day, seed)
        for site, day, seed, checkout in itertools.product(
            sites,
            days,
            seeds or [''],
            checkouts,
        )
    ]
