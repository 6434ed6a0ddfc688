"""Entry point of the ``cranecart`` program."""

import sys
from collections.abc import Sequence
from types import ModuleType
from typing import TextIO

from cranecart.cli._registry import COMMANDS, load_command, load_flags
from cranecart.documents import FindingsError
from cranecart.exceptions import (
    CranecartError,
    HttpError,
    PlatformUnavailableError,
    UsageError,
    WriteConflictError,
    WriteUnknownError,
)
from cranecart.exit_codes import ExitCode

_HELP_WORDS = frozenset(('-h', '--help', '-help', 'help'))


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command; return the program's exit code."""
    words = list(sys.argv[1:] if arguments is None else arguments)
    if not words or words[0] in _HELP_WORDS:
        _write(sys.stdout, _overview())
        return ExitCode.OK if words else ExitCode.USAGE
    if words[0] not in COMMANDS:
        _write(sys.stderr, f'cranecart: no command {words[0]!r}\n')
        _write(sys.stderr, _overview())
        return ExitCode.USAGE
    return _run(words[0], words[1:])


def _run(name: str, words: list[str]) -> int:
    command = load_command(name)
    if _HELP_WORDS.intersection(words):
        _write(sys.stdout, _help(name, command))
        return ExitCode.OK
    try:
        return _run_command(name, command, words)
    except UsageError as error:
        _write(sys.stderr, f'cranecart {name}: {error}\n')
        return ExitCode.USAGE
    except FindingsError as error:
        _write(sys.stderr, f'{error}\n')
        return ExitCode.INVALID_DECLARATION
    except CranecartError as error:
        _write(sys.stderr, f'cranecart {name}: {error}\n')
        return _exit_code(error)
    except KeyboardInterrupt:
        return ExitCode.FAILED


def _run_command(name: str, command: ModuleType, words: list[str]) -> int:
    if COMMANDS[name].takes_flags:
        return int(load_flags().run_flagged(name, command, words))
    unknown = next((word for word in words if word.startswith('-')), None)
    if unknown is not None:
        raise UsageError(f'unknown flag {unknown}')
    return int(command.run(words))


def _exit_code(error: CranecartError) -> ExitCode:
    match error:
        case WriteConflictError():
            return ExitCode.CONFLICT
        case WriteUnknownError():
            return ExitCode.OUTCOME_UNKNOWN
        case PlatformUnavailableError() | HttpError():
            return ExitCode.UNAVAILABLE
    return ExitCode.FAILED


def _overview() -> str:
    lines = (
        f'  {name:<10} {command.summary}\n'
        for name, command in COMMANDS.items()
    )
    return 'usage: cranecart COMMAND [--help]\n\n{}'.format(''.join(lines))


def _help(name: str, command: ModuleType) -> str:
    about = (command.__doc__ or '').strip()
    flags_text = (
        load_flags().flags_help(command) if COMMANDS[name].takes_flags else ''
    )
    return f'cranecart {name}: {about}\n{flags_text}\n'


def _write(stream: TextIO, text: str) -> None:
    stream.write(text)
