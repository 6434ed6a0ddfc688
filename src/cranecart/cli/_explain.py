"""Show why decisions were made. Usage: explain ID LOG_FILE [LOG_FILE ...].

The id is that of a request, a replica or an instance. Every decision that
mentions it is printed in order of time. For a request, this includes its node's
events about the replicas and instances involved, and the findings of any node
about targets that ended while running it, in any attempt.
"""

import itertools
from pathlib import Path
from typing import Any

from absl import flags

from cranecart.cli import _common
from cranecart.exceptions import OperatorError
from cranecart.exit_codes import ExitCode
from cranecart.log_reading import (
    LogLine,
    lines_about_target_ends,
    lines_mentioning,
    lines_with_context,
    read_lines,
)

# Fields shown in the first columns or unrelated to the decision.
_HIDDEN = frozenset(('asctime', 'levelname', 'name', 'message', 'request'))


def declare_flags(flag_values: flags.FlagValues) -> None:
    """Declare the command's flags."""
    _common.declare_json_flag(flag_values)


def run(flag_values: flags.FlagValues, arguments: list[str]) -> ExitCode:
    """Print the decisions about one id."""
    if len(arguments) < 2:  # noqa: WPS432
        _common.require_arguments(arguments, ['ID', 'LOG_FILE'])
    lines = read_lines(
        itertools.chain.from_iterable(map(_read, arguments[1:])),
    )
    about = lines_mentioning(lines, arguments[0])
    is_request = any(
        line.fields.get('request') == arguments[0] for line in about
    )
    if is_request:
        about = [*about, *lines_about_target_ends(lines, about)]
    context = lines_with_context(lines, about) if is_request else []
    shown = sorted((*about, *context), key=lambda line: line.at)
    text = '\n'.join(
        f'{"" if line in about else "  | "}{_format_line(line)}'
        for line in shown
    )
    _common.print_result(
        flag_values,
        list(map(_to_dict, shown)),
        text or f'nothing was decided about {arguments[0]}',
    )
    return ExitCode.OK if about else ExitCode.FAILED


def _read(name: str) -> list[bytes]:
    try:
        return Path(name).read_bytes().splitlines()
    except OSError as error:
        raise OperatorError(f'{name}: {error.strerror}') from error


def _to_dict(line: LogLine) -> dict[str, Any]:
    return {
        'at': line.at,
        'node': line.node,
        'event': line.event,
        **line.fields,
    }


def _format_line(line: LogLine) -> str:
    details = ' '.join(
        f'{name}={text}'
        for name, text in line.fields.items()
        if name not in _HIDDEN
    )
    return f'{line.at:.3f} {line.node} {line.event}: {details}'
