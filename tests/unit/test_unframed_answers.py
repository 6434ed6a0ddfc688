"""Answers with neither a length nor chunks, which end with their connection.

Such a stream is whole where it ends behind an event. It has been broken off
where it ends inside one, or before the first.
"""

import functools
import struct
import unittest
from socket import SO_LINGER, SOL_SOCKET

import curio

from tests.lib.fake_targets import (
    ENGINES,
    PLAIN,
    ClientAnswer,
    Exchange,
    GatewayTestbed,
    Script,
)

_LAST_EVENT = 4
_OK = 200


def _event(number: int) -> bytes:
    return f'id: {number}\ndata: {number}\n\n'.encode()


async def _start(exchange: Exchange, content_type: str) -> None:
    answered_id = exchange.headers['request-id']
    head = (
        f'HTTP/1.1 200 OK\r\nrequest-id: {answered_id}\r\n'
        f'replica-signature: sig\r\ncontent-type: {content_type}\r\n'
        'connection: close\r\n\r\n'
    )
    await exchange.sock.sendall(head.encode())


async def _stream(exchange: Exchange, *, last: int, rest: bytes = b'') -> None:
    """Send events up to a last one, then the rest, and close."""
    await _start(exchange, 'text/event-stream')
    first = int(exchange.headers.get('last-event-id', '0')) + 1
    for number in range(first, last + 1):
        await exchange.sock.sendall(_event(number))
        await curio.sleep(0.01)
    await exchange.sock.sendall(rest)
    await exchange.sock.close()


async def _reset(exchange: Exchange) -> None:
    """Send a part of a body and reset the connection."""
    await _start(exchange, 'text/plain')
    await exchange.sock.sendall(b'half of ')
    await curio.sleep(0.05)
    exchange.sock.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack('ii', 1, 0))
    await exchange.sock.close()


async def _body(exchange: Exchange) -> None:
    await _start(exchange, 'text/plain')
    await exchange.sock.sendall(b'half of ')
    await curio.sleep(0.05)
    await exchange.sock.sendall(b'it')
    await exchange.sock.close()


_WHOLE = functools.partial(_stream, last=_LAST_EVENT)
_INSIDE_AN_EVENT = functools.partial(_stream, last=2, rest=b'id: 3\nda')
_BEFORE_THE_FIRST = functools.partial(_stream, last=0)
_EVENTS = b''.join(map(_event, range(1, _LAST_EVENT + 1)))


class UnframedStreamTest(unittest.TestCase):
    """Streams that end with their connection."""

    def test_ends_behind_an_event(self) -> None:
        """The stream is whole."""
        answer = _ask('/once/x', _WHOLE)
        self.assertTrue(answer.is_complete)
        self.assertEqual(answer.body, _EVENTS)

    def test_ends_inside_an_event(self) -> None:
        """It is resumed at another target, each event once."""
        answer = _ask('/stream/x', _INSIDE_AN_EVENT, _WHOLE)
        self.assertTrue(answer.is_complete)
        self.assertEqual(answer.body, _EVENTS)

    def test_ends_inside_an_event_for_good(self) -> None:
        """It does not seem to be whole to the client."""
        answer = _ask('/once/x', _INSIDE_AN_EVENT)
        self.assertFalse(answer.is_complete)
        self.assertEqual(answer.body, _event(1) + _event(2))

    def test_ends_before_the_first_event(self) -> None:
        """A target that crashed at once has not answered with an empty stream.

        The stream moves to another target, or is broken off.
        """
        answer = _ask('/stream/x', _BEFORE_THE_FIRST, _WHOLE)
        self.assertTrue(answer.is_complete)
        self.assertEqual(answer.body, _EVENTS)
        answer = _ask('/once/x', _BEFORE_THE_FIRST)
        self.assertFalse(answer.is_complete and answer.status == _OK)


class UnframedBodyTest(unittest.TestCase):
    """Bodies that end with their connection."""

    def test_ends_with_its_connection(self) -> None:
        """The body is whole."""
        answer = _ask('/unsafe/x', _body, service=PLAIN)
        self.assertEqual((answer.status, answer.body), (_OK, b'half of it'))

    def test_connection_is_reset(self) -> None:
        """The half of it that arrived is not passed on."""
        answer = _ask('/unsafe/x', _reset, service=PLAIN)
        self.assertEqual(answer.status, 502)


def _ask(path: str, *scripts: Script, service: str = ENGINES) -> ClientAnswer:
    """Ask targets, of which the first is asked first."""
    testbed = GatewayTestbed(*scripts, service=service)
    for target in testbed.targets[1:]:
        # With one more request in flight another target is chosen.
        testbed.router.in_flight_counts()[target.name] += 1
    answers: list[ClientAnswer] = []

    async def ask(testbed: GatewayTestbed) -> None:  # noqa: WPS430
        answers.append(await testbed.ask(path))

    curio.run(testbed.run, ask)
    return answers[0]


if __name__ == '__main__':
    unittest.main()
