"""The native path holds a call that crashes its targets.

If the attempts of a call share no evidence, each try of its caller crashes up
to four more targets.
"""

import itertools
import random
import socket
import time
import unittest
from collections.abc import Iterable, Sequence

import attrs
import curio

from cranecart.client_api import Gateway
from cranecart.exceptions import QuarantinedRequestError, RequestError
from cranecart.instances import Instance, InstanceKind
from cranecart.quarantine import CaseUpdate, RequestGuard
from cranecart.selection import Router
from cranecart.targets import Call, EngineClient, ServiceCall, ServiceClient

_TARGETS = 12
_CALLS = 6
# A call whose begin is unknown is held after four terminations.
_MAX_TERMINATIONS = 4


class NativeCrashingRequestTest(unittest.TestCase):
    """One caller that sends the same call again and again."""

    def test_calls_at_one_node(self) -> None:
        """After four terminations it is refused at once."""
        targets = [_Target(f's{number}') for number in range(_TARGETS)]
        errors = curio.run(_send_calls, targets, [_gateway(targets)])
        self.assertEqual(
            sum(target.has_terminated for target in targets), _MAX_TERMINATIONS
        )
        self.assertIsInstance(errors[-1], QuarantinedRequestError)

    def test_crashes_after_the_deadline(self) -> None:
        """What is learned about a call does not end with its deadline."""
        targets = [
            _Target(f's{number}', crash_delay_seconds=0.2)
            for number in range(_TARGETS)
        ]
        curio.run(_send_calls, targets, [_gateway(targets)], 0.1)
        self.assertEqual(
            sum(target.has_terminated for target in targets), _MAX_TERMINATIONS
        )

    def test_calls_at_several_nodes(self) -> None:
        """The nodes add up their observations."""
        targets = [_Target(f's{number}') for number in range(_TARGETS)]
        nodes = [_gateway(targets) for _number in range(3)]
        guards = [node._guard for node in nodes]
        for guard in guards:
            guard._publish = _OtherNodes(
                [other for other in guards if other is not guard]
            )
        curio.run(_send_calls, targets, nodes)
        self.assertEqual(
            sum(target.has_terminated for target in targets), _MAX_TERMINATIONS
        )


@attrs.define
class _Target:
    """A plain service instance that terminates with its first call."""

    name: str
    has_terminated: bool = False
    crash_delay_seconds: float = 0
    listener: socket.socket = attrs.field(
        factory=lambda: socket.create_server(('127.0.0.1', 0)),
    )

    @property
    def instance(self) -> Instance:
        """Return its list entry."""
        host, port = self.listener.getsockname()[:2]
        return Instance(
            self.name,
            InstanceKind.SERVICE,
            host,
            port,
            'east',
            '',
            'crew',
        )

    async def run(self) -> None:
        """Accept one call, and terminate without an answer."""
        listener = curio.io.Socket(self.listener)
        async with listener:
            sock, _address = await listener.accept()
            async with sock:
                await sock.recv(65536)
                await curio.sleep(self.crash_delay_seconds)
                self.has_terminated = True


@attrs.define
class _Directory:
    """Lists all targets, including those that have terminated."""

    instances: Sequence[Instance]
    failure_domain: str = 'east'

    def services(self, _service: str) -> Sequence[Instance]:
        """Return the instances of any service."""
        return self.instances


@attrs.define
class _OtherNodes:
    """The other nodes, which get updates at once."""

    guards: Sequence[RequestGuard]

    def __call__(self, cases: Iterable[CaseUpdate]) -> None:
        for guard, update in itertools.product(self.guards, cases):
            guard.merge_remote(update, 'another node')


def _gateway(targets: Iterable[_Target]) -> Gateway:
    directory = _Directory([target.instance for target in targets])
    return Gateway(
        lambda: None,
        Router(directory, random.Random(1)),  # type: ignore[arg-type]
        EngineClient(),
        ServiceClient(),
        None,  # type: ignore[arg-type]
        None,  # type: ignore[arg-type]
        lambda _outcome, _seconds: None,
        RequestGuard(lambda _runner: False, lambda _cases: None),
    )


def _call(number: int, seconds: float) -> Call:
    return ServiceCall(
        request_id=f'r{number}',
        organisation='org',
        body=b'ends what runs it',
        deadline=time.monotonic() + seconds,
        service='crew',
        path='/x',
        method='POST',
    )


async def _send_calls(
    targets: Sequence[_Target],
    nodes: Sequence[Gateway],
    seconds: float = 5,
) -> list[RequestError]:
    tasks = [await curio.spawn(target.run) for target in targets]
    errors = []
    for number in range(_CALLS):
        call = _call(number, seconds)
        assert isinstance(call, ServiceCall)
        try:
            await nodes[number % len(nodes)]._forward_service_call(call)
        except RequestError as error:
            errors.append(error)
        # Targets that crash late do so before the next call.
        await curio.sleep(
            2 * max(target.crash_delay_seconds for target in targets)
        )
    for task in tasks:
        await task.cancel()
    return errors


if __name__ == '__main__':
    unittest.main()
