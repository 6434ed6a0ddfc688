"""Flags and output shared by the operators' commands."""

import os
import sys
from collections.abc import Iterable

import msgspec
from absl import flags

from cranecart.exceptions import OperatorError
from cranecart.http import Address
from cranecart.operators import OperatorClient

KEY_VARIABLE = 'CRANECART_OPERATOR_KEY'
_INDENT = 2


def declare_node_flags(flag_values: flags.FlagValues) -> None:
    """Declare the flags for the node's address and JSON output."""
    flags.DEFINE_string(
        'node_address',
        '127.0.0.1:8081',
        "host:port of a node's admin interface",
        flag_values=flag_values,
    )
    declare_json_flag(flag_values)


def declare_json_flag(flag_values: flags.FlagValues) -> None:
    """Declare the flag for JSON output."""
    flags.DEFINE_bool(
        'json',
        default=False,
        help='print JSON instead of text',
        flag_values=flag_values,
    )


def make_client(flag_values: flags.FlagValues) -> OperatorClient:
    """Return a client with the key from the environment.

    Raise ``OperatorError`` if no key is set.
    """
    key = os.environ.get(KEY_VARIABLE, '').strip()
    if not key:
        raise OperatorError(f"set {KEY_VARIABLE} to the operators' key")
    return OperatorClient(Address.from_text(flag_values.node_address), key)


def require_arguments(arguments: list[str], names: Iterable[str]) -> None:
    """Raise ``flags.Error`` unless there is one argument for each name."""
    wanted = list(names)
    if len(arguments) != len(wanted):
        shown = ' '.join(wanted) or 'nothing'
        raise flags.IllegalFlagValueError(
            f'expected arguments: {shown}; found {len(arguments)}',
        )


def print_result(
    flag_values: flags.FlagValues, answer: object, text: str
) -> None:
    """Print a result as JSON or as text."""
    if flag_values.json:
        encoded = msgspec.json.encode(answer)
        text = msgspec.json.format(encoded, indent=_INDENT).decode()
    sys.stdout.write(f'{text}\n')
