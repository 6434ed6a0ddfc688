"""Entry point of the ``cranecart`` program."""

import sys
from collections.abc import Sequence
from typing import TextIO

from absl import flags

from cranecart.cli._registry import COMMANDS, load_command
from cranecart.config import FindingsError
from cranecart.exceptions import (
    CranecartError,
    HttpError,
    PlatformUnavailableError,
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
    flag_values = flags.FlagValues()
    command.declare_flags(flag_values)
    if _HELP_WORDS.intersection(words):
        _write(sys.stdout, _help(name, command.__doc__ or '', flag_values))
        return ExitCode.OK
    try:
        rest = flag_values([name, *words])[1:]
        return int(command.run(flag_values, rest))
    except flags.Error as error:
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


def _help(name: str, about: str, flag_values: flags.FlagValues) -> str:
    return f'cranecart {name}: {about.strip()}\n{flag_values.get_help()}\n'


def _write(stream: TextIO, text: str) -> None:
    stream.write(text)
