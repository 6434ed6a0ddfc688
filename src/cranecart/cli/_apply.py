"""Apply the declarations of a folder. Usage: apply FOLDER."""

import getpass
from pathlib import Path

import curio
from absl import flags

from cranecart.cli import _common
from cranecart.clocks import since_boot
from cranecart.config import compile_folder
from cranecart.declarations import Declarations
from cranecart.exit_codes import ExitCode
from cranecart.operators import OperatorClient
from cranecart.rollout import Change

_POLL_SECONDS = 0.2


def declare_flags(flag_values: flags.FlagValues) -> None:
    """Declare the command's flags."""
    _common.declare_node_flags(flag_values)
    flags.DEFINE_integer(
        'base_version',
        None,
        'the version that the change is based on; by default the newest',
        flag_values=flag_values,
    )
    flags.DEFINE_float(
        'wait_seconds',
        0,
        'how long to wait until the change is in force on every node',
        flag_values=flag_values,
    )
    flags.DEFINE_string(
        'note', '', 'reason for the change', flag_values=flag_values
    )


def run(flag_values: flags.FlagValues, arguments: list[str]) -> ExitCode:
    """Check and apply the declarations; print the new version."""
    _common.require_arguments(arguments, ['FOLDER'])
    wanted = compile_folder(Path(arguments[0]))
    client = _common.make_client(flag_values)
    change = curio.run(
        apply_change,
        client,
        wanted,
        flag_values.base_version,
        flag_values.note,
    )
    _common.print_result(
        flag_values,
        change,
        f'accepted as version {change.version} (change {change.change_id})',
    )
    if flag_values.wait_seconds:
        behind = curio.run(
            wait_until_in_force,
            client,
            change.version,
            flag_values.wait_seconds,
        )
        return _report_in_force(flag_values, change, behind)
    return ExitCode.OK


def _report_in_force(
    flag_values: flags.FlagValues,
    change: Change,
    behind: list[str],
) -> ExitCode:
    _common.print_result(
        flag_values,
        {'version': change.version, 'behind': behind},
        f'not in force yet: {", ".join(behind)}'
        if behind
        else f'version {change.version} is in force on every node',
    )
    return ExitCode.FAILED if behind else ExitCode.OK


async def wait_until_in_force(
    client: OperatorClient,
    version: int,
    seconds: float,
) -> list[str]:
    """Wait until a version is in force on every node.

    Return a line for each failure domain with nodes on an older version; the
    list is empty on success.
    """
    deadline = since_boot() + seconds
    while True:
        domains = (await client.status()).domains
        behind = [
            f'{domain}: {" ".join(versions.behind) or "all"}'
            for domain, versions in domains.items()
            if versions.oldest < version
        ]
        if not behind or since_boot() > deadline:
            return behind
        await curio.sleep(_POLL_SECONDS)


async def apply_change(
    client: OperatorClient,
    wanted: Declarations,
    base_version: int | None,
    note: str,
) -> Change:
    """Apply declarations based on a version, by default the newest.

    Return the accepted change.
    """
    if base_version is None:
        base_version = (await client.declared()).version
    return await client.apply(wanted, base_version, getpass.getuser(), note)
