"""Commands by name; a command's module is imported when it is used."""

import gc
import importlib
from collections.abc import Mapping
from types import MappingProxyType, ModuleType

import attrs


@attrs.frozen
class CommandInfo:
    """A command's module and one-line summary."""

    module: str
    summary: str
    takes_flags: bool = True


COMMANDS: Mapping[str, CommandInfo] = MappingProxyType(
    {
        'check': CommandInfo('_check', 'check a folder of declarations'),
        'plan': CommandInfo('_plan', 'show what applying would change'),
        'apply': CommandInfo('_apply', 'apply declarations'),
        'history': CommandInfo('_history', 'list accepted changes'),
        'rollback': CommandInfo('_rollback', 'apply an earlier version again'),
        'status': CommandInfo('_status', 'show nodes, duties and replicas'),
        'evacuate': CommandInfo(
            '_evacuate', 'send nothing more to a failure domain'
        ),
        'explain': CommandInfo('_explain', 'show why a decision was made'),
        'node': CommandInfo('_node', 'run a node'),
        # Takes no flags, so that it starts without loading the flags library.
        'serve': CommandInfo(
            '_serve',
            "run a node on a deployment's platform",
            takes_flags=False,
        ),
        'standin': CommandInfo('_standin', 'run a stand-in or a fault proxy'),
        'load': CommandInfo(
            '_load', 'send a seeded load and check the answers'
        ),
    }
)


def load_flags() -> ModuleType:
    """Import the module that runs commands with flags."""
    return importlib.import_module('cranecart.cli._flags')


def load_command(name: str) -> ModuleType:
    """Import the module of a registered command.

    Garbage collection is off meanwhile: imported modules are never garbage, and
    scanning them delays the start.
    """
    gc.disable()
    try:
        return importlib.import_module(
            f'cranecart.cli.{COMMANDS[name].module}',
        )
    finally:
        gc.freeze()
        gc.enable()
