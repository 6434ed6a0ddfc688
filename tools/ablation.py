"""Ablation study: disable mechanisms one at a time and measure the effect.

Usage: python -m tools.ablation --bench=PROGRAM --sites=FILE,... --work=FOLDER
[--seeds=N,...] [--only=NAME,...] DAY...
Each mechanism is disabled by an edit in a clone of this checkout under --work;
all clones run the same scenarios and seeds as an unmodified one. The table
gives the score lost without the mechanism, with its confidence interval.
"""

import shutil
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path

import attrs
from absl import app, flags

from tools.pairs import compare
from tools.plays import Benchmark, RunResult, run_matrix

_FLAGS = flags.FLAGS
_ROOT = Path(__file__).parent.parent
_BASELINE_FOLDER = 'whole'
_SOURCE_FOLDER = 'src/cranecart'
# Build output of the baseline, copied so that other clones build faster.
_BUILD_OUTPUT = 'target/deps'


@attrs.frozen
class Mechanism:
    """A mechanism and the edit of the sources that disables it."""

    name: str
    file: str
    original: str
    replacement: str


MECHANISMS = (
    Mechanism(
        'preemption for another model',
        'grouping/_plan_executor.py',
        'return self._cooldown.scope(self._fleet.records.values())',
        'return PreemptionScope.NONE',
    ),
    Mechanism(
        'second model staged on every instance',
        'grouping/_plan.py',
        'return (*stagings, *stage_second_models(plan_input, members))',
        'return tuple(stagings)',
    ),
    Mechanism(
        'spare instances preloaded',
        'grouping/_plan_executor.py',
        'if warming.instance.id not in assigned_instances:',
        'if not warming:',
    ),
    Mechanism(
        'shared initial plan of all placers',
        'grouping/_inventory.py',
        'return is_own or not self._has_traffic()',
        'return is_own',
    ),
    Mechanism(
        'concurrent loads limited',
        'grouping/_stager.py',
        'if in_progress and in_progress + count > engine.loads_at_once - reserve:',
        'if in_progress < 0:',
    ),
    Mechanism(
        'liveness check on first silence',
        'forwarding/_sender.py',
        "await self.report_suspicion(target, f'silent for {silence:.3f} s')",
        'return',
    ),
    Mechanism(
        'stalled replicas abandoned',
        'routing/_stalls.py',
        'return silence > _STALL_FACTOR * self._stall_seconds(model)',
        'return silence < 0',
    ),
    Mechanism(
        'short connect timeout',
        'reachability/_dialer.py',
        'CONNECT_TIMEOUT_SECONDS = 0.08',
        'CONNECT_TIMEOUT_SECONDS = 0.25',
    ),
    Mechanism(
        'unreached targets left out',
        'routing/_availability.py',
        'if not paths.is_impaired:',
        'if paths is not None:',
    ),
    Mechanism(
        'late requests deferred',
        'dispatch/_decision.py',
        'is_deferred=True',
        'is_deferred=False',
    ),
    Mechanism(
        'two random choices first',
        'dispatch/_decision.py',
        'for candidates in (_sample(replicas), replicas):',
        'for candidates in (replicas,):',
    ),
    Mechanism(
        'local replicas preferred',
        'dispatch/_decision.py',
        '_REMOTE_PENALTY_FRACTION = 0.1',
        '_REMOTE_PENALTY_FRACTION = 0',
    ),
    Mechanism(
        'forecast errors by replica',
        'dispatch/_forecast_errors.py',
        'return known[0]',
        'return self._models[model]',
    ),
    Mechanism(
        'in-flight counts of other nodes',
        'routing/_router.py',
        'return self.in_flight.in_flight[name] + self._remote_in_flight(name)',
        'return self.in_flight.in_flight[name]',
    ),
    Mechanism(
        'client retries recognized',
        'dispatch/_client_retries.py',
        'return elapsed if may_be_retry and elapsed > _TRANSIT_SECONDS else 0',
        'return 0',
    ),
    Mechanism(
        'repeatable calls leave an unresponsive target',
        'forwarding/_buffered.py',
        'half_objective = call.route.objective_seconds / 2',
        'half_objective = call.route.timeout_seconds',
    ),
)


def main(arguments: Sequence[str]) -> int:
    """Run all clones and print the table."""
    selected = [
        mechanism
        for mechanism in MECHANISMS
        if not _FLAGS.only or mechanism.name in _FLAGS.only
    ]
    bench = Benchmark(
        Path(_FLAGS.bench),
        _FLAGS.why,
        _FLAGS.jobs,
        ignores_cpu_cost=True,
    )
    checkouts = _prepare(bench, selected)
    sites = list(map(Path, _FLAGS.sites))
    runs = run_matrix(checkouts, sites, arguments[1:], _FLAGS.seeds)
    run_results = list(bench.run_all(runs))
    for number, mechanism in enumerate(selected, 1):
        for site in sites:
            rows = [row for row in run_results if row.run.site == site]
            _print_row(mechanism, site, rows, len(checkouts), number)
    return 0


def _prepare(bench: Benchmark, selected: Sequence[Mechanism]) -> list[Path]:
    """Return the clones: the baseline, then one without each mechanism."""
    work = Path(_FLAGS.work)
    baseline = _clone(work / _BASELINE_FOLDER)
    bench.build([baseline])
    without = [
        _clone_without(baseline, work / f'{number}', mechanism)
        for number, mechanism in enumerate(selected)
    ]
    bench.build(without)
    return [baseline, *without]


def disable(sources: Path, mechanism: Mechanism) -> None:
    """Edit a copy of the sources; fail unless the original text occurs once."""
    path = sources / mechanism.file
    text = path.read_text('utf-8')
    if text.count(mechanism.original) != 1:
        raise LookupError(
            f'{mechanism.name}: expected the original text once in '
            f'{mechanism.file}, found it {text.count(mechanism.original)} times'
        )
    edited = text.replace(mechanism.original, mechanism.replacement)
    path.write_text(edited, 'utf-8')


def _clone(target: Path) -> Path:
    if not target.exists():
        command = ['git', 'clone', '--quiet', str(_ROOT), str(target)]
        subprocess.run(command, check=True)
    return target


def _clone_without(baseline: Path, target: Path, mechanism: Mechanism) -> Path:
    _clone(target)
    shutil.copytree(
        baseline / _BUILD_OUTPUT, target / _BUILD_OUTPUT, dirs_exist_ok=True
    )
    disable(target / _SOURCE_FOLDER, mechanism)
    return target


def _print_row(
    mechanism: Mechanism,
    site: Path,
    rows: Sequence[RunResult],
    checkouts: int,
    number: int,
) -> None:
    """Print the effect of a mechanism at one site."""
    pairs = [
        (without.worth, baseline.worth)
        for baseline, without in zip(
            rows[::checkouts],
            rows[number::checkouts],
            strict=True,
        )
        if baseline.worth is not None and without.worth is not None
    ]
    difference = compare(pairs)
    violations = [
        row.violations for row in rows[number::checkouts] if row.violations
    ]
    figures = (
        'too few runs'
        if difference is None
        else f'{difference.mean:+.3f} '
        f'[{difference.low:+.3f}, {difference.high:+.3f}]'
    )
    sys.stdout.write(
        f'| {mechanism.name} | {site.stem} | {len(pairs)} | {figures} | '
        f'{"; ".join(violations)} |\n',
    )
    sys.stdout.flush()


if __name__ == '__main__':
    flags.DEFINE_string('bench', None, 'the benchmark program')
    flags.DEFINE_list('sites', None, 'site files')
    flags.DEFINE_string('work', None, 'folder for the clones')
    flags.DEFINE_string(
        'why', 'ablation (trial)', 'purpose, as recorded in the journal'
    )
    flags.DEFINE_list('seeds', [], 'seeds that replace those of the scenarios')
    flags.DEFINE_list('only', [], 'names of the mechanisms to test')
    flags.DEFINE_integer('jobs', 4, 'number of runs in parallel', 1, 8)
    flags.mark_flags_as_required(['bench', 'sites', 'work'])
    app.run(main)
