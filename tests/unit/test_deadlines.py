"""Deadlines count from the arrival of a request, not from its handling."""

import time
import unittest
from collections.abc import Awaitable, Callable

import curio

from cranecart.client_api import parse_call
from cranecart.clocks import since_boot
from cranecart.declarations import Declarations, LimitsSpec, OrganisationSpec
from cranecart.http import Request
from tests.lib.fake_targets import Exchange, GatewayTestbed, client_request

_BLOCKED_SECONDS = 0.4
_DEADLINE_SECONDS = 1.0
_TOLERANCE_SECONDS = 0.1
_MILLISECONDS = 1000
_NOT_RUN = 503


async def _answer(exchange: Exchange) -> None:
    await exchange.answer(b'ok')


class DeadlinesTest(unittest.TestCase):
    """A request waits at the node before it is sent to a target."""

    def test_request_unread_by_a_blocked_event_loop(self) -> None:
        """The time for which the request lay in the socket has passed."""
        self._check(self._send_to_blocked_loop)

    def test_upload_that_takes_part_of_the_deadline(self) -> None:
        """The client waits since it began to send."""
        self._check(self._send_slowly)

    def test_request_sent_after_its_deadline(self) -> None:
        """What waits for a connection until its end is not run."""
        testbed = GatewayTestbed(_answer, service='crew')
        curio.run(testbed.run, self._hold_beyond_deadline)
        self.assertEqual(testbed.targets[0].received, [])

    async def _hold_beyond_deadline(self, testbed: GatewayTestbed) -> None:
        testbed.resume_guard._hold_until = since_boot() + _BLOCKED_SECONDS
        deadline_ms = round(_BLOCKED_SECONDS * _MILLISECONDS / 2)
        answer = await testbed.ask('/unsafe/x', deadline_ms=deadline_ms)
        self.assertEqual(answer.status, _NOT_RUN)
        self.assertIn('retry-after', answer.headers)

    def _check(self, send: Callable[[GatewayTestbed], Awaitable[None]]) -> None:
        testbed = GatewayTestbed(_answer, service='crew')
        curio.run(testbed.run, send)
        self.assertEqual(len(testbed.targets[0].received), 1)
        exchange = testbed.targets[0].received[0]
        given = float(exchange.headers['deadline-ms']) / _MILLISECONDS
        expected = _DEADLINE_SECONDS - _BLOCKED_SECONDS
        self.assertLess(given, expected + _TOLERANCE_SECONDS)
        self.assertGreater(given, 0)

    async def _send_to_blocked_loop(self, testbed: GatewayTestbed) -> None:
        sock = await _connect(testbed)
        await sock.sendall(_encoded_request())
        time.sleep(_BLOCKED_SECONDS)
        await sock.recv(1)
        await sock.close()

    async def _send_slowly(self, testbed: GatewayTestbed) -> None:
        sock = await _connect(testbed)
        message = _encoded_request()
        await sock.sendall(message[:-1])
        await curio.sleep(_BLOCKED_SECONDS)
        await sock.sendall(message[-1:])
        await sock.recv(1)
        await sock.close()


async def _connect(testbed: GatewayTestbed) -> curio.io.Socket:
    address = testbed.server.address
    return await curio.open_connection(address.host, address.port)


def _encoded_request() -> bytes:
    deadline_ms = round(_DEADLINE_SECONDS * _MILLISECONDS)
    request = client_request('/safe/x', deadline_ms=deadline_ms)
    lines = [f'{name}: {text}' for name, text in request.headers.items()]
    head = '\r\n'.join(
        (
            f'{request.method} {request.target} HTTP/1.1',
            *lines,
            f'content-length: {len(request.body)}',
        )
    )
    return f'{head}\r\n\r\n'.encode() + request.body


class NativeDeadlineTest(unittest.TestCase):
    """The same on the native interface."""

    def test_call_unread_by_a_blocked_event_loop(self) -> None:
        """A call's deadline counts from its arrival."""
        deadline_ms = round(_DEADLINE_SECONDS * _MILLISECONDS)
        arrived_at = since_boot() - _BLOCKED_SECONDS
        request = Request(
            'POST',
            '/v1/chat/completions',
            {'x-deadline-ms': str(deadline_ms)},
            b'{"model": "m", "messages": [{"role": "user", "content": "p"}]}',
            arrived_at=arrived_at,
        )
        organisation = OrganisationSpec(
            'o', (), LimitsSpec(10, 100), models=('m',)
        )
        call = parse_call(request, organisation, Declarations('d', 'r', ()))
        self.assertAlmostEqual(call.deadline, arrived_at + _DEADLINE_SECONDS)
