"""Run the checks: formatter, linters, type checker and test suites.

Usage: python -m tools.checks [style] [unit] [platform] [functional] [crowds]
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
_SOURCE_FOLDERS = ('src', 'tests', 'tools')
_STYLE_COMMANDS = (
    ('ruff', 'format', '--check', '--quiet', *_SOURCE_FOLDERS),
    ('ruff', 'check', '--quiet', *_SOURCE_FOLDERS),
    ('flake8', *_SOURCE_FOLDERS),
    ('mypy',),
)
_TEST_SUITES = ('unit', 'platform', 'functional')
# Measures memory under many clients, so that it runs apart from other load.
_LONE_SUITE = 'crowds'
_ALL_SUITES = (*_TEST_SUITES, _LONE_SUITE)
_KNOWN_FAILURES_FILE = _ROOT / 'KNOWN-RED.txt'
# Without those of the lone suite.
_MAX_KNOWN_FAILURES = 7
_WORKERS = 4
_TESTS_RUN = re.compile(r'^Ran (\d+) tests?', re.MULTILINE)
_TESTS_SKIPPED = re.compile(r'skipped=(\d+)')
_FAILED_TEST = re.compile(r'^(FAIL|ERROR): \w+ \(([\w.]+)\)', re.MULTILINE)


@attrs.frozen
class UnitOutcome:
    """Number of tests in a test unit, with the failed and skipped ones."""

    tests: int
    failed: frozenset[str]
    skipped: int = 0


def main(check_names: Sequence[str]) -> int:
    """Run the named checks, or all by default; return the exit code."""
    selected = check_names or ('style', *_ALL_SUITES)
    style = run_style() if 'style' in selected else 0
    suites = [name for name in _ALL_SUITES if name in selected]
    failed = run_suites(suites) if suites else 0
    return int(bool(style or failed))


def run_style() -> int:
    """Run the style commands; return the number that failed."""
    failures = 0
    for command in _STYLE_COMMANDS:
        _print_line(' '.join(command))
        failures += bool(
            subprocess.run(
                [sys.executable, '-m', *command],
                cwd=_ROOT,
                check=False,
            ).returncode,
        )
    return failures


def run_suites(names: Sequence[str]) -> int:
    """Run test suites; return the number of unexpected failures.

    Units run in parallel, those of the lone suite one at a time afterwards.
    """
    parallel = [name for name in names if name != _LONE_SUITE]
    units = sorted(itertools.chain.from_iterable(map(test_units, parallel)))
    with ThreadPoolExecutor(_WORKERS) as pool:
        outcomes = list(pool.map(run_test_unit, units))
    if _LONE_SUITE in names:
        outcomes.extend(map(run_test_unit, sorted(test_units(_LONE_SUITE))))
    return _summarize(outcomes)


def test_units(suite: str) -> set[str]:
    """Return the names of the parts of a suite that can run independently.

    A functional test runs alone, unless its class has a class-level fixture:
    then the class is run as a whole. Other suites are split by module.
    """
    discovered = unittest.defaultTestLoader.discover(
        str(_ROOT / 'tests' / suite),
        top_level_dir=str(_ROOT),
    )
    return {_unit_name(test) for test in _iterate_tests(discovered)}


def run_test_unit(unit: str) -> UnitOutcome:
    """Run one test unit in a separate process and print its output."""
    run = subprocess.run(
        [sys.executable, '-m', 'unittest', '--verbose', unit],
        cwd=_ROOT,
        capture_output=True,
        check=False,
        text=True,
    )
    _print_line(f'{unit}:\n{run.stderr}')
    match = _TESTS_RUN.search(run.stderr)
    tests = int(match.group(1)) if match else 0
    failed = {name for _kind, name in _FAILED_TEST.findall(run.stderr)}
    if run.returncode and not failed:
        failed = {unit}
    skipped = sum(map(int, _TESTS_SKIPPED.findall(run.stderr)))
    return UnitOutcome(max(tests, len(failed)), frozenset(failed), skipped)


def _iterate_tests(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from _iterate_tests(test)
        else:
            yield test


def _unit_name(test: unittest.TestCase) -> str:
    test_class = type(test)
    if not test_class.__module__.startswith('tests.functional'):
        return test_class.__module__
    if 'setUpClass' in test_class.__dict__:
        return f'{test_class.__module__}.{test_class.__qualname__}'
    return test.id()


def _summarize(outcomes: Sequence[UnitOutcome]) -> int:
    all_failed = frozenset(
        itertools.chain.from_iterable(outcome.failed for outcome in outcomes),
    )
    known = known_failures().keys() & all_failed
    for name in sorted(all_failed):
        _print_line(f'red: {known_failures().get(name, name)}')
    unexpected = len(all_failed) - len(known)
    ran = sum(outcome.tests for outcome in outcomes)
    skipped = sum(outcome.skipped for outcome in outcomes)
    passed = ran - len(all_failed) - skipped
    _print_line(
        f'{passed} passed, {unexpected} failed, {skipped + len(known)} skipped',
    )
    return unexpected


def known_failures() -> dict[str, str]:
    """Return the lines of the known-failures file by test name."""
    if not _KNOWN_FAILURES_FILE.exists():
        return {}
    lines = [
        line
        for line in _KNOWN_FAILURES_FILE.read_text('utf-8').splitlines()
        if line and not line.startswith('#')
    ]
    lone_prefix = f'tests.{_LONE_SUITE}.'
    counted = [line for line in lines if not line.startswith(lone_prefix)]
    if len(counted) > _MAX_KNOWN_FAILURES:
        sys.exit(
            f'{_KNOWN_FAILURES_FILE.name} must not list more than '
            f'{_MAX_KNOWN_FAILURES} tests, found {len(counted)}',
        )
    return {line.split(',')[0].strip(): line for line in lines}


def _print_line(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
