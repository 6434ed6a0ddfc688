"""Apply an earlier version again. Usage: rollback VERSION.

Versions only increase: a rollback creates a new version with the declarations
of an earlier one.
"""

import curio
from absl import flags

from cranecart.cli import _common
from cranecart.cli._apply import apply_change
from cranecart.exceptions import OperatorError
from cranecart.exit_codes import ExitCode
from cranecart.operators import OperatorClient
from cranecart.rollout import Change

declare_flags = _common.declare_node_flags


def run(flag_values: flags.FlagValues, arguments: list[str]) -> ExitCode:
    """Apply the earlier declarations and print the new version."""
    _common.require_arguments(arguments, ['VERSION'])
    if not arguments[0].isdecimal():
        raise OperatorError(f'{arguments[0]!r} is not a version number')
    client = _common.make_client(flag_values)
    change = curio.run(_roll_back, client, int(arguments[0]))
    _common.print_result(
        flag_values,
        change,
        f'version {arguments[0]} is applied again as version {change.version}',
    )
    return ExitCode.OK


async def _roll_back(client: OperatorClient, version: int) -> Change:
    earlier = await client.declared(version)
    if earlier.declarations is None:
        raise OperatorError(f'version {version} has no declarations')
    note = f'rollback to version {version}'
    return await apply_change(client, earlier.declarations, None, note)
