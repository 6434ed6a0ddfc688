"""Check a folder of declarations; needs no node. Usage: check FOLDER."""

from pathlib import Path

from absl import flags

from cranecart.cli import _common
from cranecart.config import compile_folder
from cranecart.documents import FindingsError
from cranecart.exit_codes import ExitCode


def declare_flags(flag_values: flags.FlagValues) -> None:
    """Declare the command's flags."""
    _common.declare_json_flag(flag_values)


def run(flag_values: flags.FlagValues, arguments: list[str]) -> ExitCode:
    """Print all findings, or a summary of what the folder declares."""
    _common.require_arguments(arguments, ['FOLDER'])
    try:
        declared = compile_folder(Path(arguments[0]))
    except FindingsError as error:
        if not flag_values.json:
            raise
        _common.print_result(flag_values, {'findings': error.findings}, '')
        return ExitCode.INVALID_DECLARATION
    _common.print_result(
        flag_values,
        {'findings': (), 'declarations': declared},
        f'{arguments[0]}: {len(declared.models)} models, '
        f'{len(declared.services)} services, '
        f'{len(declared.organisations)} organisations: no errors',
    )
    return ExitCode.OK
