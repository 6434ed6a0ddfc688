"""Have the declarations of a folder accepted. Usage: apply FOLDER."""

import getpass
from pathlib import Path

import curio
from absl import flags

from cranecart.cli import _common
from cranecart.config import compile_folder
from cranecart.exit_codes import ExitCode
from cranecart.models import Declarations
from cranecart.operators import OperatorClient
from cranecart.rollout import Change


def declare_flags(flag_values: flags.FlagValues) -> None:
    """Declare the command's flags."""
    _common.declare_node_flags(flag_values)
    flags.DEFINE_integer(
        'base_version',
        None,
        'the version the change was made on; the newest if not given',
        flag_values=flag_values,
    )
    flags.DEFINE_string('note', '', 'why it changes', flag_values=flag_values)


def run(flag_values: flags.FlagValues, rest: list[str]) -> ExitCode:
    """Check, apply, and print which version the change became."""
    _common.require_arguments(rest, ['FOLDER'])
    wanted = compile_folder(Path(rest[0]))
    change = curio.run(
        apply_change,
        _common.make_client(flag_values),
        wanted,
        flag_values.base_version,
        flag_values.note,
    )
    _common.show(
        flag_values,
        change,
        f'accepted as version {change.version} (change {change.change_id})',
    )
    return ExitCode.OK


async def apply_change(
    client: OperatorClient,
    wanted: Declarations,
    base_version: int | None,
    note: str,
) -> Change:
    """Apply declarations on top of a version, the newest if not given."""
    if base_version is None:
        base_version = (await client.declared()).version
    return await client.apply(wanted, base_version, getpass.getuser(), note)
