"""Run a node until it is stopped. Usage: node SETTINGS_FILE."""

from pathlib import Path

from absl import flags

from cranecart.cli import _common
from cranecart.event_loop import run_until_complete
from cranecart.exit_codes import ExitCode
from cranecart.log_setup import set_up_logging
from cranecart.node import Node
from cranecart.settings import NodeSettings


def declare_flags(flag_values: flags.FlagValues) -> None:
    """Mark the flags as parsed; the command has none."""
    flag_values.mark_as_parsed()


def run(flag_values: flags.FlagValues, arguments: list[str]) -> ExitCode:
    """Serve until SIGTERM or SIGINT."""
    _common.require_arguments(arguments, ['SETTINGS_FILE'])
    settings = NodeSettings.from_file(Path(arguments[0]))
    set_up_logging(
        as_json=settings.log_format == 'json',
        level=settings.log_level,
        node=settings.node_id,
    )
    run_until_complete(Node(settings).run)
    return ExitCode.OK
