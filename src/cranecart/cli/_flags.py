"""Run a command that takes flags."""

from collections.abc import Sequence
from types import ModuleType

from absl import flags

from cranecart.exceptions import UsageError


def run_flagged(name: str, command: ModuleType, words: Sequence[str]) -> int:
    """Run a command with its flags; raise ``UsageError`` if they are invalid."""
    flag_values = flags.FlagValues()
    command.declare_flags(flag_values)
    try:
        arguments = flag_values([name, *words])[1:]
        return int(command.run(flag_values, arguments))
    except flags.Error as error:
        raise UsageError(str(error)) from error


def flags_help(command: ModuleType) -> str:
    """Return the help text of a command's flags."""
    flag_values = flags.FlagValues()
    command.declare_flags(flag_values)
    return flag_values.get_help()
