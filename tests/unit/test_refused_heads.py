"""Requests that their heads rule out are refused before their bodies come."""

import unittest
from collections.abc import Sequence

import attrs
import curio

from tests.lib.fake_targets import HOST, KEY, PLAIN, Exchange, GatewayTestbed

_BODY_BYTES = 1_000_000
_PART = b'x' * 1000
# Well before the node gives up waiting for the rest.
_ANSWER_SECONDS = 5.0
_HEADS = (
    (b' 401 ', '/safe/', 'wrong', f'content-length: {_BODY_BYTES}'),
    (b' 401 ', '/safe/', 'wrong', 'transfer-encoding: chunked'),
    (b' 404 ', '/other/', KEY, f'content-length: {_BODY_BYTES}'),
)
_EXPECTATION = 'expect: 100-continue'


async def _answer(exchange: Exchange) -> None:
    await exchange.answer(exchange.body)


@attrs.define
class _Client:
    """Sends some bytes and keeps what is answered to them at first."""

    sent: bytes
    answer: bytes = b''

    async def run(self, testbed: GatewayTestbed) -> None:
        """Send them to the gateway."""
        address = testbed.server.address
        sock = await curio.open_connection(address.host, address.port)
        async with sock:
            await sock.sendall(self.sent)
            self.answer = await curio.timeout_after(
                _ANSWER_SECONDS, sock.recv, 4096
            )


class RefusedHeadsTest(unittest.TestCase):
    """A gateway, and clients that send a part of their body and wait."""

    def test_bodies_are_collected_for_a_wrong_key_or_route(self) -> None:
        """The refusal comes while the client has not sent the rest."""
        for status, path, key, framing in _HEADS:
            with self.subTest(path=path, framing=framing):
                answer = self._ask(path, key, [framing], _framed(framing))
                self.assertIn(status, answer.split(b'\r\n')[0])
                self.assertIn(b'connection: close', answer)

    def test_client_that_waits_is_told_to_go_on(self) -> None:
        """It has asked first, and is not told to send what is refused."""
        for key, status in (('wrong', b' 401 '), (KEY, b' 100 ')):
            framing = f'content-length: {_BODY_BYTES}'
            answer = self._ask('/safe/', key, [framing, _EXPECTATION], b'')
            self.assertIn(status, answer.split(b'\r\n')[0])

    def _ask(
        self, path: str, key: str, lines: Sequence[str], body: bytes
    ) -> bytes:
        head = '\r\n'.join(
            (
                f'POST {path} HTTP/1.1',
                f'host: {HOST}',
                f'authorization: Bearer {key}',
                'request-id: r1',
                *lines,
                '\r\n',
            )
        )

        client = _Client(head.encode() + body)
        curio.run(GatewayTestbed(_answer, service=PLAIN).run, client.run)
        return client.answer


def _framed(framing: str) -> bytes:
    """Return a part of a body."""
    if framing.startswith('transfer'):
        return b'%x\r\n%b\r\n' % (len(_PART), _PART)
    return _PART
