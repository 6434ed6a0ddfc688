"""Times in what nodes ask each other count from when it was sent."""

import random
import time
import unittest
from collections.abc import Awaitable, Callable

import curio

from cranecart.exceptions import PeerBrokenError
from cranecart.http import Address, HttpConnection, HttpServer, Request
from cranecart.peer_calls import (
    AttemptGrants,
    Peer,
    PeerCall,
    PeerChoice,
    PeerClient,
    PeerEndpoint,
    PeerRequest,
    encode_peer_request,
)
from tests.lib.fake_targets import PLAIN, Exchange, client_request
from tests.lib.peer_testbed import HelperNode, PeerTestbed

_BLOCKED_SECONDS = 0.4
_SECONDS_LEFT = 1.0
_TOLERANCE_SECONDS = 0.1
_MILLISECONDS = 1000
_OK = 200
_CONFLICT = 409


class DeadlinesOverPeersTest(unittest.TestCase):
    """What one node sends waits at another, or before it is sent."""

    def test_request_unread_by_a_peer(self) -> None:
        """The time for which it lay in the peer's socket has passed."""
        helper = HelperNode('n1', (_answer,), service=PLAIN)

        async def scenario(_testbed: PeerTestbed) -> None:  # noqa: WPS430
            await _ask_blocked(
                helper.server.address, encode_peer_request(_message())
            )

        curio.run(PeerTestbed(helper).run, scenario)
        exchange = helper.testbed.targets[0].received[0]
        given = float(exchange.headers['deadline-ms']) / _MILLISECONDS
        self.assertLess(
            given, _SECONDS_LEFT - _BLOCKED_SECONDS + _TOLERANCE_SECONDS
        )

    def test_grant_to_a_peer_that_has_given_up_waiting(self) -> None:
        """An attempt is granted only while the peer waits for the answer."""
        grants = AttemptGrants()

        async def ask(address: Address) -> None:  # noqa: WPS430
            with grants.register(lambda: True) as call_id:
                request = Request('POST', '/attempts', {}, call_id.encode())
                self.assertEqual(await _ask(address, request), _OK)
                self.assertEqual(
                    await _ask_blocked(address, request), _CONFLICT
                )

        curio.run(
            _with_endpoint, PeerEndpoint(_handle_nothing, bool, grants), ask
        )
        self.assertEqual((grants.granted, grants.denied), (1, 1))

    def test_time_that_passes_before_a_peer_is_sent_a_request(self) -> None:
        """The time left is that of the sending."""
        received: list[PeerRequest] = []

        async def note(  # noqa: WPS430
            message: PeerRequest, responder: object, arrived_at: float
        ) -> None:
            received.append(message)

        async def ask(address: Address) -> None:  # noqa: WPS430
            call = PeerCall(
                Peer('n1', address, 'east'),
                _message(),
                may_repeat=True,
                seconds_left=lambda: _SECONDS_LEFT - _BLOCKED_SECONDS,
            )
            client = PeerClient(PeerChoice('east', tuple, random.Random(1)))
            with self.assertRaises(PeerBrokenError):
                async with client.start(call):
                    raise AssertionError('the peer has sent no response')

        curio.run(_with_endpoint, PeerEndpoint(note, lambda: True), ask)
        message = received[0]
        self.assertAlmostEqual(
            message.seconds_left, _SECONDS_LEFT - _BLOCKED_SECONDS
        )
        self.assertAlmostEqual(message.elapsed_seconds, _BLOCKED_SECONDS)


async def _answer(exchange: Exchange) -> None:
    await exchange.answer(b'ok')


async def _handle_nothing(*_arguments: object) -> None:
    raise AssertionError('no request was passed on')


def _message() -> PeerRequest:
    request = client_request('/safe/x')
    return PeerRequest(
        'n0',
        request.method,
        request.target,
        tuple(request.headers.items()),
        request.body,
        PLAIN,
        seconds_left=_SECONDS_LEFT,
        elapsed_seconds=0,
        retrying_seconds=0,
        attempts_left=2,
    )


async def _ask(
    address: Address, request: Request, blocked_seconds: float = 0
) -> int:
    """Send a request, block the event loop; return the response's status."""
    connection = await HttpConnection.open(address)
    try:
        await connection.send(request)
        time.sleep(blocked_seconds)
        head = await connection.read_head()
        return head.status
    finally:
        await connection.close()


async def _ask_blocked(address: Address, request: Request) -> int:
    return await _ask(address, request, _BLOCKED_SECONDS)


async def _with_endpoint(
    endpoint: PeerEndpoint, scenario: Callable[[Address], Awaitable[None]]
) -> None:
    """Run a scenario with the address of an endpoint."""
    server = HttpServer(Address('127.0.0.1', 0), endpoint.handle)
    server.open()
    task = await curio.spawn(server.run)
    try:
        await scenario(server.address)
    finally:
        await task.cancel()
