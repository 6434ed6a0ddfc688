"""Run a test many times beside load, with processes paused at drawn moments.

Usage: python -m tools.provoke [--runs=N] [--at_once=N] [--load=N] [--pause=MODE]
[--pause_seconds=S,...] [--between=S,S] [--seed=N] [--logs=FOLDER] TEST...
MODE is none, test (the test's own process) or child (one of its children, or
the test's own process as long as it has none). Prints each failed run with the
pause that was drawn for it; a run with the same seed draws the same pauses.
"""

import itertools
import os
import random
import signal
import subprocess
import sys
import time
from collections.abc import Generator, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Self

import attrs
from absl import app, flags

_FLAGS = flags.FLAGS
_PAUSE_MODES = ('none', 'test', 'child')
_TIMEOUT_SECONDS = 540.0
_DEFAULT_RUNS = 40
_BUSY_LOOP = 'while True: pass'
# Fields of /proc/PID/stat after the name of the program.
_PARENT_FIELD = 1


@attrs.frozen
class Pause:
    """When a process is paused, in seconds from the start of a run."""

    at: float
    seconds: float
    # Chooses among the children; the same number chooses the same one again.
    child_number: int

    @classmethod
    def draw(
        cls,
        source: random.Random,
        between: tuple[float, float],
        durations: Sequence[float],
    ) -> Self:
        """Draw a pause."""
        return cls(
            source.uniform(*between),
            source.choice(durations),
            source.randrange(1000),
        )


@attrs.frozen
class Provocation:
    """What disturbs the runs of a test."""

    pause_mode: str
    durations: Sequence[float]
    between: tuple[float, float]
    seed: int

    def pause(self, number: int) -> Pause | None:
        """Return the pause in the run with this number, if there is one."""
        if self.pause_mode == 'none':
            return None
        source = random.Random(f'{self.seed}/{number}')
        return Pause.draw(source, self.between, self.durations)


@attrs.frozen
class Outcome:
    """What became of one run; ``output`` is that of the test."""

    number: int
    exit_code: int
    pause: Pause | None
    paused_program: str
    output: str

    @property
    def summary(self) -> str:
        """Return a line on a failed run, with the errors of its tests."""
        errors = [
            line
            for line in self.output.splitlines()
            if line.startswith(('FAIL:', 'ERROR:', 'AssertionError'))
        ]
        paused = '' if self.pause is None else f'{self.pause} '
        return (
            f'run {self.number}: exit code {self.exit_code} '
            f'{paused}{self.paused_program} {" | ".join(errors)}'
        )


def main(arguments: Sequence[str]) -> int:
    """Run the tests; return 1 if any run failed."""
    provocation = Provocation(
        _FLAGS.pause,
        tuple(map(float, _FLAGS.pause_seconds)),
        (float(_FLAGS.between[0]), float(_FLAGS.between[1])),
        _FLAGS.seed,
    )
    with busy_processes(_FLAGS.load):
        outcomes = run_all(
            arguments[1:], provocation, _FLAGS.runs, _FLAGS.at_once
        )
    failed = [outcome for outcome in outcomes if outcome.exit_code]
    for outcome in failed:
        sys.stdout.write(f'{outcome.summary}\n')
        _keep_log(outcome)
    sys.stdout.write(
        f'{len(outcomes) - len(failed)} passed, {len(failed)} failed; seed '
        f'{provocation.seed}, pause {provocation.pause_mode}, '
        f'{_FLAGS.load} busy processes, {_FLAGS.at_once} at once\n'
    )
    return int(bool(failed))


@contextmanager
def busy_processes(count: int) -> Generator[None, None, None]:
    """Run processes that only use processor time while the context lasts."""
    processes = [
        subprocess.Popen([sys.executable, '-c', _BUSY_LOOP])
        for _number in range(count)
    ]
    try:
        yield
    finally:
        for process in processes:
            process.kill()
            process.wait()


def run_all(
    tests: Sequence[str],
    provocation: Provocation,
    runs: int,
    at_once: int,
) -> Sequence[Outcome]:
    """Run the tests ``runs`` times; return the outcomes in order."""
    with ThreadPoolExecutor(at_once) as pool:
        return list(
            pool.map(
                lambda number: run_once(
                    tests, number, provocation.pause(number), provocation
                ),
                range(runs),
            )
        )


def run_once(
    tests: Sequence[str],
    number: int,
    pause: Pause | None,
    provocation: Provocation,
) -> Outcome:
    """Run the tests once, with a pause if there is one."""
    process = subprocess.Popen(
        [sys.executable, '-m', 'unittest', *tests],
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    with ThreadPoolExecutor(1) as pool:
        reading = pool.submit(process.communicate, None, _TIMEOUT_SECONDS)
        program = ''
        if pause is not None:
            program = _pause_process(
                process, pause, of_child=provocation.pause_mode == 'child'
            )
        try:
            output, _errors = reading.result()
        except subprocess.TimeoutExpired:
            process.kill()
            output = f'ERROR: not done within {_TIMEOUT_SECONDS} s'
    return Outcome(number, process.wait(), pause, program, output)


def _pause_process(
    process: subprocess.Popen[str], pause: Pause, *, of_child: bool
) -> str:
    """Pause a process of a run; return its command line."""
    time.sleep(pause.at)
    paused_id = process.pid
    children = _children(process.pid) if of_child else []
    if children:
        paused_id = children[pause.child_number % len(children)]
    # A process that has ended needs no pause.
    with suppress(OSError):
        program = Path(f'/proc/{paused_id}/cmdline').read_text('utf-8')
        os.kill(paused_id, signal.SIGSTOP)
        try:
            time.sleep(pause.seconds)
        finally:
            os.kill(paused_id, signal.SIGCONT)
        return ' '.join(program.split('\0')[2:5])
    return 'ended'


def _children(parent_id: int) -> list[int]:
    """Return the ids of a process's children, in order of their start."""
    children = []
    for stat in Path('/proc').glob('[0-9]*/stat'):
        with suppress(OSError):
            fields = stat.read_text('utf-8').rpartition(')')[2].split()
            if int(fields[_PARENT_FIELD]) == parent_id:
                children.append(int(stat.parent.name))
    return sorted(children)


def _keep_log(outcome: Outcome) -> None:
    folder = Path(_FLAGS.logs)
    folder.mkdir(parents=True, exist_ok=True)
    names = (
        folder / f'seed-{_FLAGS.seed}-run-{outcome.number}-{copy}.log'
        for copy in itertools.count()
    )
    next(name for name in names if not name.exists()).write_text(
        outcome.output, 'utf-8'
    )


if __name__ == '__main__':
    flags.DEFINE_integer('runs', _DEFAULT_RUNS, 'number of runs')
    flags.DEFINE_integer('at_once', 1, 'runs at the same time')
    flags.DEFINE_integer('load', 0, 'busy processes beside the runs')
    flags.DEFINE_enum('pause', 'none', _PAUSE_MODES, 'what is paused')
    flags.DEFINE_list('pause_seconds', ['0.5'], 'durations to draw from')
    flags.DEFINE_list('between', ['0', '4'], 'when pauses begin, in seconds')
    flags.DEFINE_integer('seed', 1, 'seed of the drawn pauses')
    flags.DEFINE_string('logs', 'out/provoke', 'folder for failed runs')
    app.run(main)
