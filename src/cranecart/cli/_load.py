"""Send a reproducible load and check each response. Usage: load PROMPTS_FILE.

Responses are checked against the expected output of the stand-in engines.
"""

from pathlib import Path

import attrs
import curio
from absl import flags

from cranecart.cli import _common
from cranecart.exceptions import OperatorError
from cranecart.exit_codes import ExitCode
from cranecart.http import Address
from cranecart.load_testing import (
    Balancer,
    NodeEndpoints,
    Outcome,
    Profile,
    Summary,
    make_calls,
    run_load,
)
from cranecart.standins import read_record

_READINESS_CHECK_SECONDS = 1.0


def declare_flags(flag_values: flags.FlagValues) -> None:
    """Declare the command's flags."""
    _common.declare_json_flag(flag_values)
    for name, about in (
        ('nodes', 'client and admin address of each node, in pairs'),
        ('api_keys', 'keys of organisations'),
        ('models', 'models to call'),
        ('services', 'plain services and paths, as name/path'),
    ):
        flags.DEFINE_list(name, [], about, flag_values=flag_values)
    flags.DEFINE_string(
        'record',
        '',
        'file in which the stand-ins recorded executions',
        flag_values=flag_values,
    )
    for name, amount, about in (
        ('count', 100, 'calls to send'),
        ('per_second', 10, 'calls a second'),
        ('repeats', 0, 'retries of a failed call'),
        ('tokens', 16, 'tokens per response'),
        ('seed', 1, 'random seed'),
    ):
        flags.DEFINE_integer(name, amount, about, flag_values=flag_values)


def run(flag_values: flags.FlagValues, arguments: list[str]) -> ExitCode:
    """Send the load and print the summary; fail on any violation."""
    _common.require_arguments(arguments, ['PROMPTS_FILE'])
    try:
        lines = Path(arguments[0]).read_text('utf-8').splitlines()
    except OSError as error:
        raise OperatorError(f'{arguments[0]}: {error.strerror}') from error
    prompts = [line for line in lines if line and not line.startswith('#')]
    outcomes = curio.run(_send_all, flag_values, prompts)
    summary = Summary.from_outcomes(
        outcomes,
        read_record(Path(flag_values.record)) if flag_values.record else [],
    )
    shown = attrs.asdict(summary)
    _common.print_result(
        flag_values,
        shown,
        '\n'.join(f'{name}: {number}' for name, number in shown.items()),
    )
    return ExitCode.FAILED if summary.violations else ExitCode.OK


async def _send_all(
    flag_values: flags.FlagValues,
    prompts: list[str],
) -> list[Outcome]:
    profile = Profile(
        api_keys=flag_values.api_keys,
        models=flag_values.models,
        services=list(map(_split_service, flag_values.services)),
        tokens=flag_values.tokens,
    )
    balancer = _balancer(flag_values.nodes)
    health_checks = await curio.spawn(balancer.run, daemon=True)
    await curio.sleep(_READINESS_CHECK_SECONDS)
    outcomes = await run_load(
        balancer,
        make_calls(profile, prompts, flag_values.count, flag_values.seed),
        flag_values.per_second,
        flag_values.repeats,
    )
    await health_checks.cancel()
    return outcomes


def _split_service(text: str) -> tuple[str, str]:
    name, _, path = text.partition('/')
    return name, f'/{path}'


def _balancer(texts: list[str]) -> Balancer:
    addresses = [Address.from_text(text) for text in texts]
    pairs = zip(addresses[::2], addresses[1::2], strict=True)
    return Balancer([NodeEndpoints(*pair) for pair in pairs])
