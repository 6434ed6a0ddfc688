"""Commands by name; a command's module is imported when it is used."""

import gc
import importlib
from collections.abc import Mapping
from types import MappingProxyType, ModuleType

import attrs


@attrs.frozen
class CommandInfo:
    """Where a command is found, and what it does in one line."""

    module: str
    summary: str
    takes_flags: bool = True


COMMANDS: Mapping[str, CommandInfo] = MappingProxyType(
    {
        'check': CommandInfo('_check', 'check a folder of declarations'),
        'plan': CommandInfo('_plan', 'show what applying would change'),
        'apply': CommandInfo('_apply', 'have declarations accepted'),
        'history': CommandInfo('_history', 'list accepted changes'),
        'rollback': CommandInfo('_rollback', 'accept an earlier version anew'),
        'status': CommandInfo('_status', 'show nodes, duties and replicas'),
        'explain': CommandInfo('_explain', 'tell why a decision was taken'),
        'node': CommandInfo('_node', 'run a node'),
        # It has none, and loads nothing that it does not need.
        'serve': CommandInfo(
            '_serve',
            "run a node on a users' platform",
            takes_flags=False,
        ),
        'standin': CommandInfo('_standin', 'run a stand-in or a fault proxy'),
        'load': CommandInfo(
            '_load', 'send a seeded load and check the answers'
        ),
    }
)


def load_flags() -> ModuleType:
    """Import what commands with flags need."""
    return importlib.import_module('cranecart.cli._flags')


def load_command(name: str) -> ModuleType:
    """Import the module of a command that is in the registry.

    Nothing of it is ever garbage, and looking through it delays the start.
    """
    gc.disable()
    try:
        return importlib.import_module(
            f'cranecart.cli.{COMMANDS[name].module}',
        )
    finally:
        gc.freeze()
        gc.enable()
