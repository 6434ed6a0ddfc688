"""Run a stand-in until it is stopped.

Usage: standin platform|engine|service|proxy ADDRESS
"""

from collections.abc import Awaitable, Callable

import curio
from absl import flags

from cranecart.cli import _common
from cranecart.event_loop import run_until_complete
from cranecart.exit_codes import ExitCode
from cranecart.http import Address
from cranecart.log_setup import set_up_logging
from cranecart.signals import raise_first_error, stop_signal
from cranecart.standins import (
    EngineOptions,
    EngineStandin,
    EventRecord,
    FaultProxy,
    ListEntry,
    PlatformOptions,
    PlatformStandin,
    ServiceOptions,
    ServiceStandin,
    register,
)


def declare_flags(flag_values: flags.FlagValues) -> None:
    """Declare the flags of all stand-ins."""
    for name, default, about in (
        ('record', '', 'file to record events in'),
        ('instance', '', 'id of the instance'),
        ('platform', '127.0.0.1:8090', 'address of the platform'),
        ('failure_domain', '', 'failure domain of the instance'),
        ('fabric_domain', '', 'fabric domain of the instance'),
        ('service', '', 'name of the plain service'),
        ('upstream', '', 'address behind a proxy'),
        ('control', '127.0.0.1:0', 'control address of a proxy'),
        ('listed_address', '', 'address to list, by default its own'),
    ):
        flags.DEFINE_string(name, default, about, flag_values=flag_values)
    for name, amount, about in (
        ('slots', 16, 'requests in one batch of an engine'),
        ('first_token_ms', 20, 'time to the first token'),
        ('token_ms', 5, 'time between tokens'),
        ('prefill_ms', 30, 'time added if the prefix is not cached'),
        ('report_lag_ms', 200, 'lag of the load that an engine reports'),
        ('delay_ms', 5, 'time a service call takes'),
        ('load_ms', 500, 'time one load of weights takes'),
        ('parallel_loads', 16, 'loads that the weight store serves at once'),
        ('list_lag_ms', 500, 'lag of the instance list'),
    ):
        flags.DEFINE_integer(name, amount, about, flag_values=flag_values)
    for name in ('checks_fencing', 'checks_members'):
        flags.DEFINE_bool(
            name,
            default=True,
            help='whether an engine makes this check',
            flag_values=flag_values,
        )


def run(flag_values: flags.FlagValues, arguments: list[str]) -> ExitCode:
    """Run one stand-in."""
    _common.require_arguments(arguments, ['KIND', 'ADDRESS'])
    set_up_logging(as_json=False, level='warning')
    address = Address.from_text(arguments[1])
    makers: dict[str, Callable[[flags.FlagValues, Address], _Runner]] = {
        'platform': _platform,
        'engine': _engine,
        'service': _service,
        'proxy': _proxy,
    }
    if arguments[0] not in makers:
        known = ', '.join(makers)
        raise flags.IllegalFlagValueError(
            f'KIND must be one of {known}, found {arguments[0]!r}',
        )
    run_until_complete(
        _run_until_stopped, makers[arguments[0]](flag_values, address)
    )
    return ExitCode.OK


_Runner = Callable[[], Awaitable[None]]


async def _run_until_stopped(runner: _Runner) -> None:
    async with stop_signal() as stop, curio.TaskGroup(wait=any) as tasks:
        await tasks.spawn(runner)
        await tasks.spawn(stop.wait)
    raise_first_error(tasks)


def _platform(flag_values: flags.FlagValues, address: Address) -> _Runner:
    options = PlatformOptions(
        list_lag_ms=flag_values.list_lag_ms,
        load_ms=flag_values.load_ms,
        parallel_loads=flag_values.parallel_loads,
    )
    record = EventRecord.from_path('platform', flag_values.record)
    return PlatformStandin(address, options, record).run


def _engine(flag_values: flags.FlagValues, address: Address) -> _Runner:
    options = EngineOptions(
        flag_values.instance,
        Address.from_text(flag_values.platform),
        flag_values.slots,
        flag_values.first_token_ms,
        flag_values.token_ms,
        flag_values.prefill_ms,
        checks_fencing=flag_values.checks_fencing,
        checks_members=flag_values.checks_members,
        report_lag_ms=flag_values.report_lag_ms,
    )
    record = EventRecord.from_path(flag_values.instance, flag_values.record)
    engine = EngineStandin(address, options, record)
    return _registered(flag_values, address, engine.run, 'engine')


def _service(flag_values: flags.FlagValues, address: Address) -> _Runner:
    options = ServiceOptions(flag_values.instance, flag_values.delay_ms)
    record = EventRecord.from_path(flag_values.instance, flag_values.record)
    service = ServiceStandin(address, options, record)
    return _registered(flag_values, address, service.run, 'service')


def _proxy(flag_values: flags.FlagValues, address: Address) -> _Runner:
    return FaultProxy(
        address,
        Address.from_text(flag_values.upstream),
        Address.from_text(flag_values.control),
    ).run


def _registered(
    flag_values: flags.FlagValues,
    address: Address,
    runner: _Runner,
    kind: str,
) -> _Runner:
    """Return a runner that registers an instance before it runs it."""
    listed = address
    if flag_values.listed_address:
        listed = Address.from_text(flag_values.listed_address)
    platform = Address.from_text(flag_values.platform)
    entry = ListEntry(
        flag_values.instance,
        kind,
        listed.host,
        listed.port,
        flag_values.failure_domain,
        flag_values.fabric_domain,
        flag_values.service,
    )

    async def run() -> None:  # noqa: WPS430
        await register(platform, entry)
        await runner()

    return run
