"""List accepted changes, newest last. Usage: history."""

import time

import curio
from absl import flags

from cranecart.cli import _common
from cranecart.exit_codes import ExitCode
from cranecart.rollout import Change

declare_flags = _common.declare_node_flags


def run(flag_values: flags.FlagValues, arguments: list[str]) -> ExitCode:
    """Print the history."""
    _common.require_arguments(arguments, [])
    changes = curio.run(_common.make_client(flag_values).changes)
    _common.print_result(flag_values, changes, '\n'.join(map(_line, changes)))
    return ExitCode.OK


def _line(change: Change) -> str:
    at = time.strftime('%Y-%m-%dT%H:%M:%SZ', time.gmtime(change.accepted_at))
    return (
        f'{change.version:>6} {at} {change.author} '
        f'{change.change_id} {change.note}'
    )
