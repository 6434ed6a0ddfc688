"""Run scenarios of one kind of fault against each service and domain.

Usage: python -m tools.kinds --bench=PROGRAM --site=FILE [--seeds=N,...]
[--only=PATTERN] [--keep=FOLDER] [--below=WORTH] TABLE...
A table, as in bench/kinds/*.toml, has rows with the fields of a fault. 'hows'
lists variants, each a scenario. 'aims' selects the targets from the site file:
'service', 'model' (services with models), 'plain' (those without), 'zone',
'each' (a zone of each service) or nothing. 'beside' lists faults that are
injected at the same times, and 'planned' marks planned work. Log and report of
a run are kept if it violates a rule or its score is below --below.
"""

import itertools
import json
import re
import sys
import tempfile
import tomllib
from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any

import attrs
from absl import app, flags

from tools.plays import Benchmark, BenchmarkRun, RunResult

_FLAGS = flags.FLAGS
# Faults last five seconds by default: time for two faults, for machines to
# reconnect after each, and for the end of the scenario.
_SCENARIO_SECONDS = 17.0
_FAULT_TIMES = (3.0, 9.0)
_DEFAULT_SEED = '7'
_TABLE_FIELDS = frozenset(('hows', 'aims', 'beside', 'planned'))

_Fields = Mapping[str, Any]


@attrs.frozen
class FaultScenario:
    """A scenario with one kind of fault, or several injected together."""

    faults: Sequence[_Fields]
    planned: bool = False

    @property
    def kind(self) -> str:
        """Return the kinds of the faults."""
        return ' + '.join(str(fault['kind']) for fault in self.faults)

    @property
    def variant(self) -> str:
        """Return the variants of the faults."""
        return ' + '.join(str(fault.get('how') or '-') for fault in self.faults)

    @property
    def target(self) -> str:
        """Return the target of the first fault."""
        first = self.faults[0]
        names = (first.get(name) for name in ('service', 'zone', 'class'))
        return ' '.join(str(name) for name in names if name) or 'all'

    @property
    def name(self) -> str:
        """Return a name that is valid as a file name."""
        label = f'{self.kind}-{self.variant}-{self.target}'
        return re.sub('[^a-z0-9]+', '-', label).strip('-')

    def to_toml(self, seed: str) -> str:
        """Return the scenario as TOML for the benchmark."""
        parts = {'plan' if self.planned else 'faults': self.faults}
        lists = (
            f'{name} = [\n{_format_faults(parts.get(name, ()))}]\n'
            for name in ('plan', 'faults')
        )
        return (
            f'[[day]]\nname = "{self.name}"\nseed = {seed}\n'
            f'length_s = {_SCENARIO_SECONDS}\n{"".join(lists)}'
        )


def scenarios(
    rows: Sequence[_Fields], site: _Fields
) -> Iterator[FaultScenario]:
    """Yield a scenario for each variant and target of each row."""
    for row in rows:
        fault_fields = {
            name: row[name] for name in row if name not in _TABLE_FIELDS
        }
        simultaneous = row.get('beside', ())
        for variant, target in itertools.product(
            row.get('hows', ('',)),
            _targets(row.get('aims', ''), site),
        ):
            variant_field = {'how': variant} if variant else {}
            fault = {**fault_fields, **variant_field, **target}
            yield FaultScenario(
                (fault, *simultaneous), row.get('planned', False)
            )


def _targets(aims: str, site: _Fields) -> list[Mapping[str, str]]:
    services = site['services']
    match aims:
        case 'service':
            return [{'service': service['name']} for service in services]
        case 'model':
            return [
                {'service': service['name']}
                for service in services
                if _serves_model(service)
            ]
        case 'plain':
            return [
                {'service': service['name']}
                for service in services
                if not _serves_model(service)
            ]
        case 'zone':
            return [{'zone': zone['name']} for zone in site['zones']]
        case 'each':
            # The zones of a service are equivalent, so one is enough.
            return [
                {
                    'service': service['name'],
                    'zone': service['servers'][0]['zone'],
                }
                for service in services
            ]
    return [{}]


def _serves_model(service: _Fields) -> bool:
    return 'model' in service


def _format_faults(faults: Sequence[_Fields]) -> str:
    return ''.join(
        f'  {_inline_table({"at": at, **fault})},\n'
        for at, fault in itertools.product(_FAULT_TIMES, faults)
    )


def _inline_table(fields: _Fields) -> str:
    # Strings, numbers and booleans have the same syntax in JSON and TOML.
    pairs = (f'{name} = {json.dumps(fields[name])}' for name in fields)
    return f'{{ {", ".join(pairs)} }}'


def table_row(scenario: FaultScenario, run_result: RunResult) -> str:
    """Return a row of the Markdown table."""
    worth = '' if run_result.worth is None else f'{run_result.worth:.3f}'
    cells = (
        scenario.kind,
        scenario.variant,
        scenario.target,
        run_result.run.seed,
        worth,
        f'{run_result.share("served"):.3f}',
        f'{run_result.share("failed"):.3f}',
        run_result.violations,
    )
    return f'| {" | ".join(cells)} |'


def _save(scenario: FaultScenario, run_result: RunResult, folder: Path) -> None:
    stem = f'days-{Path(run_result.run.site).stem}-{scenario.name}'
    target = folder / f'{stem}-{run_result.run.seed}.txt'
    target.write_text(run_result.log, 'utf-8')
    report = json.dumps(run_result.report)
    target.with_suffix('.json').write_text(report, 'utf-8')


def _print_line(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def _read_toml(path: str) -> _Fields:
    return tomllib.loads(Path(path).read_text('utf-8'))


def _write_scenarios(
    requested: Sequence[tuple[FaultScenario, str]], folder: Path
) -> list[BenchmarkRun]:
    runs = []
    for number, (scenario, seed) in enumerate(requested):
        day = folder / f'{number}.toml'
        day.write_text(scenario.to_toml(seed), 'utf-8')
        runs.append(BenchmarkRun(Path.cwd(), Path(_FLAGS.site), str(day), seed))
    return runs


def main(tables: Sequence[str]) -> int:
    """Run the scenarios; return 1 if a run violated a rule, else 0."""
    site = _read_toml(_FLAGS.site)
    rows = [row for table in tables[1:] for row in _read_toml(table)['row']]
    pattern = re.compile(_FLAGS.only)
    selected = [
        scenario
        for scenario in scenarios(rows, site)
        if pattern.search(scenario.name)
    ]
    requested = list(itertools.product(selected, _FLAGS.seeds))
    _print_line(
        '| kind | variant | target | seed | worth | served | failed '
        '| violations |',
    )
    _print_line(f'|{" --- |" * 8}')
    with tempfile.TemporaryDirectory() as folder:
        has_violations = [
            _report(*outcome) for outcome in _run_all(requested, Path(folder))
        ]
    return int(any(has_violations))


def _run_all(
    requested: Sequence[tuple[FaultScenario, str]],
    folder: Path,
) -> Iterator[tuple[FaultScenario, RunResult]]:
    bench = Benchmark(Path(_FLAGS.bench), _FLAGS.why, _FLAGS.jobs, True, True)
    bench.build([Path.cwd()])
    runs = _write_scenarios(requested, folder)
    for (scenario, _), run_result in zip(requested, bench.run_all(runs)):
        yield scenario, run_result


def _report(scenario: FaultScenario, run_result: RunResult) -> bool:
    """Print the row of a run and return whether it violated a rule."""
    _print_line(table_row(scenario, run_result))
    is_poor = run_result.worth is not None and run_result.worth < _FLAGS.below
    if run_result.violations or is_poor:
        _save(scenario, run_result, Path(_FLAGS.keep))
    return bool(run_result.violations)


if __name__ == '__main__':
    flags.DEFINE_string('bench', None, 'the benchmark program')
    flags.DEFINE_string('site', None, 'a site file')
    flags.DEFINE_string(
        'why', 'scenarios of one kind', 'purpose, as recorded in the journal'
    )
    flags.DEFINE_string(
        'only', '', 'run scenarios whose name matches this pattern'
    )
    flags.DEFINE_string(
        'keep', '.', 'folder for logs and reports of failed runs'
    )
    flags.DEFINE_float('below', 0, 'keep the logs of runs with a lower score')
    flags.DEFINE_list(
        'seeds', [_DEFAULT_SEED], 'random seeds, one run for each'
    )
    flags.DEFINE_integer('jobs', 4, 'number of runs in parallel', 1, 4)
    flags.mark_flags_as_required(['bench', 'site'])
    app.run(main)
