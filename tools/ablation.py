"""Switch decisions off, one at a time, and measure what each is worth.

Usage: python -m tools.ablation --bench=PROGRAM --sites=FILE,... --work=FOLDER
[--seeds=N,...] [--only=NAME,...] DAY...
Each mechanism is switched off by an edit in a clone of this checkout under
--work; all clones play the same days and seeds as an untouched one. The table
says what is lost without it, with the interval.
"""

import shutil
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path

import attrs
from absl import app, flags

from tools.pairs import compare
from tools.plays import Bench, Given, combine

_FLAGS = flags.FLAGS
_ROOT = Path(__file__).parent.parent
_WHOLE = 'whole'
_SOURCES = 'src/cranecart'
# What the bench built of one checkout, which others need not install anew.
_BUILT = 'target/deps'


@attrs.frozen
class Mechanism:
    """One decision, and the edit that switches it off."""

    name: str
    file: str
    found: str
    replaced: str


MECHANISMS = (
    Mechanism(
        'making room for another model',
        'grouping/_plan_executor.py',
        'return self._cooldown.scope(self._fleet.records.values())',
        'return PreemptionScope.NONE',
    ),
    Mechanism(
        'a second model on every host',
        'grouping/_plan.py',
        'return (*stagings, *stage_second_models(plan_input, members))',
        'return tuple(stagings)',
    ),
    Mechanism(
        'spares that load beforehand',
        'grouping/_plan_executor.py',
        'if warming.instance.id not in assigned_instances:',
        'if not warming:',
    ),
    Mechanism(
        'one first division by all placers',
        'grouping/_inventory.py',
        'return is_own or not self._has_traffic()',
        'return is_own',
    ),
    Mechanism(
        "loads at the weight store's pace",
        'grouping/_stager.py',
        'if in_progress and in_progress + count > engine.loads_at_once - reserve:',
        'if in_progress < 0:',
    ),
    Mechanism(
        'checks at the first silence',
        'forwarding/_sender.py',
        """await self.report_suspicion(
                    target, f'silent for {silence:.3f} s'
                )""",
        'continue',
    ),
    Mechanism(
        'replicas that give nothing are left',
        'routing/_stalls.py',
        'return silence > _STALL_FACTOR * self._stall_seconds(model)',
        'return silence < 0',
    ),
    Mechanism(
        'short waits for connections',
        'forwarding/_connections.py',
        '_CONNECT_TIMEOUT_SECONDS = 0.08',
        '_CONNECT_TIMEOUT_SECONDS = 0.25',
    ),
    Mechanism(
        'targets out of reach are passed over',
        'routing/_ejection.py',
        'if not reached:',
        'if reached is None:',
    ),
    Mechanism(
        'late ones let others pass',
        'dispatch/_decision.py',
        'is_deferred=True',
        'is_deferred=False',
    ),
    Mechanism(
        'two drawn before all',
        'dispatch/_decision.py',
        'for candidates in (_sample(replicas), replicas):',
        'for candidates in (replicas,):',
    ),
    Mechanism(
        'near replicas first',
        'dispatch/_decision.py',
        '_REMOTE_PENALTY_FRACTION = 0.1',
        '_REMOTE_PENALTY_FRACTION = 0',
    ),
    Mechanism(
        'errors learned by replica',
        'dispatch/_forecast_errors.py',
        'return known[0]',
        'return self._models[model]',
    ),
    Mechanism(
        "other nodes' counts",
        'routing/_router.py',
        'return self._in_flight.in_flight[name] + self._remote_in_flight(name)',
        'return self._in_flight.in_flight[name]',
    ),
    Mechanism(
        'who came back is known',
        'dispatch/_client_retries.py',
        'return elapsed if is_likely and elapsed > _TRANSIT_SECONDS else 0',
        'return 0',
    ),
    Mechanism(
        'repeatable calls leave a silent target',
        'forwarding/_buffered.py',
        'half_objective = call.route.objective_seconds / 2',
        'half_objective = call.route.timeout_seconds',
    ),
)


def main(arguments: Sequence[str]) -> int:
    """Play all clones and print the table."""
    chosen = [
        one for one in MECHANISMS if not _FLAGS.only or one.name in _FLAGS.only
    ]
    bench = Bench(
        Path(_FLAGS.bench),
        _FLAGS.why,
        _FLAGS.jobs,
        is_cpu_free=True,
    )
    checkouts = _prepare(bench, chosen)
    sites = list(map(Path, _FLAGS.sites))
    plays = combine(checkouts, sites, arguments[1:], _FLAGS.seeds)
    given = list(bench.play_all(plays))
    for number, mechanism in enumerate(chosen, 1):
        for site in sites:
            rows = [one for one in given if one.play.site == site]
            _say_row(mechanism, site, rows, len(checkouts), number)
    return 0


def _prepare(bench: Bench, chosen: Sequence[Mechanism]) -> list[Path]:
    """Return the clones: the whole one, then one without each mechanism."""
    work = Path(_FLAGS.work)
    whole = _clone(work / _WHOLE)
    bench.build([whole])
    without = [
        _switched_off(whole, work / f'{number}', one)
        for number, one in enumerate(chosen)
    ]
    bench.build(without)
    return [whole, *without]


def switch_off(sources: Path, mechanism: Mechanism) -> None:
    """Edit a copy of the sources; fail if the place is not there once."""
    path = sources / mechanism.file
    text = path.read_text('utf-8')
    if text.count(mechanism.found) != 1:
        raise LookupError(f'{mechanism.name}: not once in {mechanism.file}')
    edited = text.replace(mechanism.found, mechanism.replaced)
    path.write_text(edited, 'utf-8')


def _clone(target: Path) -> Path:
    if not target.exists():
        command = ['git', 'clone', '--quiet', str(_ROOT), str(target)]
        subprocess.run(command, check=True)
    return target


def _switched_off(whole: Path, target: Path, mechanism: Mechanism) -> Path:
    _clone(target)
    shutil.copytree(whole / _BUILT, target / _BUILT, dirs_exist_ok=True)
    switch_off(target / _SOURCES, mechanism)
    return target


def _say_row(
    mechanism: Mechanism,
    site: Path,
    rows: Sequence[Given],
    checkouts: int,
    number: int,
) -> None:
    """Print what is lost without a mechanism on one site."""
    pairs = [
        (without.worth, whole.worth)
        for whole, without in zip(
            rows[::checkouts],
            rows[number::checkouts],
            strict=True,
        )
        if whole.worth is not None and without.worth is not None
    ]
    found = compare(pairs)
    broken = [one.rules for one in rows[number::checkouts] if one.rules]
    figures = (
        'too few plays'
        if found is None
        else f'{found.mean:+.3f} [{found.low:+.3f}, {found.high:+.3f}]'
    )
    sys.stdout.write(
        f'| {mechanism.name} | {site.stem} | {len(pairs)} | {figures} | '
        f'{"; ".join(broken)} |\n',
    )
    sys.stdout.flush()


if __name__ == '__main__':
    flags.DEFINE_string('bench', None, "the users' bench program")
    flags.DEFINE_list('sites', None, 'site files')
    flags.DEFINE_string('work', None, 'a folder for the clones')
    flags.DEFINE_string('why', 'ablation (trial)', 'a line for the journal')
    flags.DEFINE_list('seeds', [], 'other seeds than the days have')
    flags.DEFINE_list('only', [], 'the mechanisms to judge')
    flags.DEFINE_integer('jobs', 4, 'how many days to play at once', 1, 8)
    flags.mark_flags_as_required(['bench', 'sites', 'work'])
    app.run(main)
