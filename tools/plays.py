"""Run scenarios on the external benchmark and read their reports.

The benchmark calls a scenario a day: a load and a schedule of faults at a site.
"""

import itertools
import json
import subprocess
import tempfile
from collections.abc import Iterable, Iterator, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import attrs

# The longest scenario on the small sites takes two minutes.
_RUN_TIMEOUT_SECONDS = 900
# How much of the output is shown if the benchmark wrote no report.
_ERROR_TAIL_CHARACTERS = 200


@attrs.frozen
class BenchmarkRun:
    """One scenario to run: checkout, site file, scenario and random seed."""

    checkout: Path
    site: Path
    day: str
    seed: str = ''


@attrs.frozen
class RunResult:
    """Result of a run; ``report`` is empty if the benchmark wrote none."""

    run: BenchmarkRun
    report: Mapping[str, Any]
    log: str = ''

    @property
    def worth(self) -> float | None:
        """Return the score, or None without a report.

        It is the value earned minus the costs, by the value due.
        """
        return self.report.get('G')

    @property
    def violations(self) -> str:
        """Return the violated rules with counts, empty if there are none."""
        if not self.report:
            return f'not run: {self.log[-_ERROR_TAIL_CHARACTERS:]}'
        violated = {**self.report['breaks'], **self._process_faults()}
        return ', '.join(f'{rule} {count}' for rule, count in violated.items())

    def share(self, name: str) -> float:
        """Return a share of the requests: served, refused or failed."""
        return float(self.report.get(name, 0))

    def worth_by_class(self) -> Mapping[str, float]:
        """Return the score by request class."""
        classes = self.report.get('classes', ())
        return {entry['name']: entry['worth'] for entry in classes}

    def _process_faults(self) -> Mapping[str, int]:
        exits = self.report['exits_n']
        fault = self.report['fault']
        counts = {'unexpected exits': exits} if exits else {}
        return {**counts, str(fault): 1} if fault else counts


@attrs.frozen
class Benchmark:
    """The benchmark program and the options to run it with."""

    program: Path
    purpose: str
    jobs: int
    ignores_cpu_cost: bool = False
    keeps_logs: bool = False

    def build(self, checkouts: Iterable[Path]) -> None:
        """Build each checkout once, as builds must not overlap runs."""
        for checkout in checkouts:
            subprocess.run(
                [self.program, 'build'],
                cwd=checkout,
                capture_output=True,
                check=True,
            )

    def run_all(self, runs: Sequence[BenchmarkRun]) -> Iterator[RunResult]:
        """Run scenarios in parallel and yield their results in order."""
        with ThreadPoolExecutor(self.jobs) as pool:
            yield from pool.map(self.run, runs)

    def run(self, run: BenchmarkRun) -> RunResult:
        """Run one scenario."""
        with tempfile.TemporaryDirectory() as folder:
            report = Path(folder) / 'report.json'
            process = subprocess.run(
                self._command(run, report),
                cwd=run.checkout,
                stdout=subprocess.PIPE,
                # Node logs and the reason of a failed run are written there.
                stderr=subprocess.STDOUT,
                check=False,
                text=True,
                timeout=_RUN_TIMEOUT_SECONDS,
            )
            parsed = {}
            if report.exists():
                parsed = json.loads(report.read_text())
        return RunResult(run, parsed, process.stdout)

    def _command(self, run: BenchmarkRun, report: Path) -> list[str]:
        options = {
            '--no-cpu': self.ignores_cpu_cost,
            f'--seed={run.seed}': bool(run.seed),
            '--log=all': self.keeps_logs,
        }
        return [
            str(self.program),
            'run',
            str(run.site),
            run.day,
            *(
                part
                for option, is_set in options.items()
                if is_set
                for part in option.split('=')
            ),
            '--report',
            str(report),
            '--why',
            self.purpose,
        ]


def run_matrix(
    checkouts: Sequence[Path],
    sites: Sequence[Path],
    days: Sequence[str],
    seeds: Sequence[str],
) -> list[BenchmarkRun]:
    """Return all combinations; runs that differ by checkout are adjacent."""
    return [
        BenchmarkRun(checkout, site, day, seed)
        for site, day, seed, checkout in itertools.product(
            sites,
            days,
            seeds or [''],
            checkouts,
        )
    ]
