"""The one entry to every check: formatter, linter, types, tests.

Usage: python -m tools.checks [style] [unit] [functional]
"""

import subprocess
import sys
import unittest
from collections.abc import Sequence
from pathlib import Path

_ROOT = Path(__file__).parent.parent
_PARTS = ('src', 'tests', 'tools')
_STYLE = (
    ('ruff', 'format', '--check', '--quiet', *_PARTS),
    ('ruff', 'check', '--quiet', *_PARTS),
    ('flake8', *_PARTS),
    ('mypy',),
)
_SUITES = ('unit', 'functional')
_KNOWN_RED = _ROOT / 'KNOWN-RED.txt'
_MAX_KNOWN_RED = 3


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
    """Run test suites; return the number of unexpected failures."""
    loader = unittest.defaultTestLoader
    suite = unittest.TestSuite(
        loader.discover(str(_ROOT / 'tests' / name), top_level_dir=str(_ROOT))
        for name in names
    )
    outcome = unittest.TextTestRunner(verbosity=2).run(suite)
    return _judge(outcome)


def _judge(outcome: unittest.TestResult) -> int:
    red = {test.id() for test, _ in (*outcome.failures, *outcome.errors)}
    excused = known_red().keys() & red
    for name in sorted(excused):
        _say(f'known red: {known_red()[name]}')
    failed = len(red) - len(excused)
    skipped = len(outcome.skipped) + len(excused)
    passed = outcome.testsRun - failed - skipped
    _say(f'{passed} passed, {failed} failed, {skipped} skipped')
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
