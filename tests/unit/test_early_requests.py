"""Requests that arrive before the one before them has been handled."""

import unittest

import curio

from tests.lib.fake_targets import Exchange, GatewayTestbed
from tests.lib.waiting import until

_WORK_SECONDS = 0.1
_TIMEOUT_SECONDS = 1
_READ_BYTES = 4096
_REQUEST = (
    'GET /safe/x HTTP/1.1\r\nhost: a.example\r\nauthorization: Bearer secret\r\n'
    'request-id: {name}\r\n\r\n'
)


async def _answer_slowly(exchange: Exchange) -> None:
    await curio.sleep(_WORK_SECONDS)
    await exchange.answer(exchange.headers['request-id'].encode())


class EarlyRequestsTest(unittest.TestCase):
    """A client's next request arrives while its connection is watched."""

    def test_next_request_is_read_and_never_answered(self) -> None:
        """What was read while the client was watched is the next request."""
        for first_bytes in (1, 20, len(_REQUEST)):
            with self.subTest(first_bytes=first_bytes):
                testbed = GatewayTestbed(_answer_slowly, service='crew')
                curio.run(testbed.run, _Client(first_bytes).ask_twice)


class _Client:
    """Sends a second request, a part of it before the first is answered."""

    def __init__(self, first_bytes: int) -> None:
        """Send so many bytes of the second request early."""
        self._first_bytes = first_bytes

    async def ask_twice(self, testbed: GatewayTestbed) -> None:
        """Send both; return once both are answered."""
        address = testbed.server.address
        sock = await curio.open_connection(address.host, address.port)
        async with sock:
            await sock.sendall(_REQUEST.format(name='q1').encode())
            await until(lambda: bool(testbed.targets[0].received))
            second = _REQUEST.format(name='q2').encode()
            await sock.sendall(second[: self._first_bytes])
            await _read_until(sock, b'\r\n\r\nq1')
            await sock.sendall(second[self._first_bytes :])
            await _read_until(sock, b'\r\n\r\nq2')


async def _read_until(sock: curio.io.Socket, end: bytes) -> None:
    received = b''
    async with curio.timeout_after(_TIMEOUT_SECONDS):
        while not received.endswith(end):
            chunk = await sock.recv(_READ_BYTES)
            if not chunk:
                raise AssertionError(f'closed after {received!r}')
            received += chunk
