"""The one entry to every check: formatter, linter, types, tests.

Usage: python -m tools.checks [style] [unit] [functional]
"""

import itertools
import re
import subprocess
import sys
import unittest
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import attrs

_ROOT = Path(__file__).parent.parent
_PARTS = ('src', 'tests', 'tools')
_STYLE = (
    ('ruff', 'format', '--check', '--quiet', *_PARTS),
    ('ruff', 'check', '--quiet', *_PARTS),
    ('flake8', *_PARTS),
    ('mypy',),
)
_SUITES = ('unit', 'platform', 'functional')
_KNOWN_RED = _ROOT / 'KNOWN-RED.txt'
_MAX_KNOWN_RED = 3
_WORKERS = 4
_RAN = re.compile(r'^Ran (\d+) tests?', re.MULTILINE)
_SKIPPED = re.compile(r'skipped=(\d+)')
_RED = re.compile(r'^(FAIL|ERROR): \w+ \(([\w.]+)\)', re.MULTILINE)


@attrs.frozen
class UnitOutcome:
    """How many tests of a unit ran, and which of them are red."""

    tests: int
    red: frozenset[str]
    skipped: int = 0


def main(words: Sequence[str]) -> int:
    """Run the named checks, all if none is named; return the exit code."""
    chosen = words or ('style', *_SUITES)
    style = run_style() if 'style' in chosen else 0
    suites = [name for name in _SUITES if name in chosen]
    failed = run_suites(suites) if suites else 0
    return int(bool(style or failed))


def run_style() -> int:
    """Run formatter check, linter and type checker; return the failures."""
    failures = 0
    for command in _STYLE:
        _say(' '.join(command))
        failures += bool(
            subprocess.run(
                [sys.executable, '-m', *command],
                cwd=_ROOT,
                check=False,
            ).returncode,
        )
    return failures


def run_suites(names: Sequence[str]) -> int:
    """Run test suites in a few processes; return unexpected failures."""
    units = sorted(itertools.chain.from_iterable(map(test_units, names)))
    with ThreadPoolExecutor(_WORKERS) as pool:
        outcomes = list(pool.map(run_unit, units))
    return _judge(outcomes)


def test_units(suite: str) -> set[str]:
    """Return what can run by itself: classes that share a fixture whole."""
    found = unittest.defaultTestLoader.discover(
        str(_ROOT / 'tests' / suite),
        top_level_dir=str(_ROOT),
    )
    return {_unit_of(test) for test in _flatten(found)}


def run_unit(unit: str) -> UnitOutcome:
    """Run one unit in a process of its own and print what it printed."""
    run = subprocess.run(
        [sys.executable, '-m', 'unittest', '--verbose', unit],
        cwd=_ROOT,
        capture_output=True,
        check=False,
        text=True,
    )
    _say(f'{unit}:\n{run.stderr}')
    counted = _RAN.search(run.stderr)
    tests = int(counted.group(1)) if counted else 0
    red = {name for _word, name in _RED.findall(run.stderr)}
    if run.returncode and not red:
        red = {unit}
    skipped = sum(map(int, _SKIPPED.findall(run.stderr)))
    return UnitOutcome(max(tests, len(red)), frozenset(red), skipped)


def _flatten(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from _flatten(test)
        else:
            yield test


def _unit_of(test: unittest.TestCase) -> str:
    kind = type(test)
    if not kind.__module__.startswith('tests.functional'):
        return kind.__module__
    if 'setUpClass' in kind.__dict__:
        return f'{kind.__module__}.{kind.__qualname__}'
    return test.id()


def _judge(outcomes: Sequence[UnitOutcome]) -> int:
    red = frozenset(
        itertools.chain.from_iterable(outcome.red for outcome in outcomes),
    )
    excused = known_red().keys() & red
    for name in sorted(red):
        _say(f'red: {known_red().get(name, name)}')
    failed = len(red) - len(excused)
    ran = sum(outcome.tests for outcome in outcomes)
    skipped = sum(outcome.skipped for outcome in outcomes)
    passed = ran - len(red) - skipped
    _say(
        f'{passed} passed, {failed} failed, {skipped + len(excused)} skipped',
    )
    return failed


def known_red() -> dict[str, str]:
    """Return the tests that may fail for a fault that stands in a list."""
    if not _KNOWN_RED.exists():
        return {}
    lines = [
        line
        for line in _KNOWN_RED.read_text('utf-8').splitlines()
        if line and not line.startswith('#')
    ]
    if len(lines) > _MAX_KNOWN_RED:
        sys.exit(f'{_KNOWN_RED.name} may hold {_MAX_KNOWN_RED} lines')
    return {line.split(',')[0].strip(): line for line in lines}


def _say(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
