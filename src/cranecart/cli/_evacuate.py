"""Withdraw a failure domain's targets from use. Usage: evacuate DOMAIN.

Nothing more is sent to them until ``evacuate --end DOMAIN``; requests in flight
there finish.
"""

import curio
from absl import flags

from cranecart.cli import _common
from cranecart.exit_codes import ExitCode


def declare_flags(flag_values: flags.FlagValues) -> None:
    """Declare the flags."""
    _common.declare_node_flags(flag_values)
    flags.DEFINE_bool(
        'end',
        default=False,
        help='end the evacuation',
        flag_values=flag_values,
    )


def run(flag_values: flags.FlagValues, arguments: list[str]) -> ExitCode:
    """Start or end the evacuation and print its state."""
    _common.require_arguments(arguments, ['DOMAIN'])
    client = _common.make_client(flag_values)
    evacuation = curio.run(
        client.change_evacuation, arguments[0], not flag_values.end
    )
    state = 'evacuated' if evacuation.is_active else 'not evacuated'
    _common.print_result(
        flag_values, evacuation, f'{evacuation.failure_domain} is {state}'
    )
    return ExitCode.OK
