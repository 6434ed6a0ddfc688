"""Tell why something was decided, from logs. Usage: explain ID LOG_FILE.

The id is that of a request, a replica or an instance; every decision line
that names it is printed in the order of the file.
"""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
from absl import flags

from cranecart.cli import _common
from cranecart.exceptions import OperatorError
from cranecart.exit_codes import ExitCode

_DECISIONS = 'cranecart.decisions'


def declare_flags(flag_values: flags.FlagValues) -> None:
    """Declare the command's flags."""
    _common.declare_json_flag(flag_values)


def run(flag_values: flags.FlagValues, rest: list[str]) -> ExitCode:
    """Print the decisions about one id."""
    _common.require_arguments(rest, ['ID', 'LOG_FILE'])
    try:
        lines = Path(rest[1]).read_bytes().splitlines()
    except OSError as error:
        raise OperatorError(f'{rest[1]}: {error.strerror}') from error
    found = [
        decided for decided in _decisions(lines) if _names(decided, rest[0])
    ]
    text = '\n'.join(map(_sentence, found))
    _common.show(
        flag_values, found, text or f'nothing was decided about {rest[0]}'
    )
    return ExitCode.OK if found else ExitCode.FAILED


def _decisions(lines: list[bytes]) -> Iterator[dict[str, Any]]:
    for line in lines:
        try:
            decoded = msgspec.json.decode(line)
        except msgspec.DecodeError:
            continue
        if isinstance(decoded, dict) and decoded.get('name') == _DECISIONS:
            yield decoded


def _names(decided: dict[str, Any], wanted: str) -> bool:
    return any(
        wanted == text or (isinstance(text, list) and wanted in text)
        for text in decided.values()
    )


def _sentence(decided: dict[str, Any]) -> str:
    hidden = {'asctime', 'levelname', 'name', 'message', 'event'}
    details = ' '.join(
        f'{name}={text}' for name, text in decided.items() if name not in hidden
    )
    return f'{decided.get("asctime", "")} {decided.get("event")}: {details}'
