"""Responses to HEAD, which have no body whoever answers."""

import unittest

import curio

from tests.lib.fake_targets import (
    ENGINES,
    HOST,
    KEY,
    PLAIN,
    Exchange,
    GatewayTestbed,
    Script,
)
from tests.lib.peer_testbed import HelperNode, PeerTestbed

_READ_BYTES = 65536
_ANSWER_SECONDS = 5.0
_HEAD_END = b'\r\n\r\n'


async def _answer_head(exchange: Exchange) -> None:
    request_id = exchange.headers['request-id']
    await exchange.sock.sendall(
        (
            f'HTTP/1.1 200 OK\r\nrequest-id: {request_id}\r\n'
            'replica-signature: sig\r\ncontent-length: 1234\r\n\r\n'
        ).encode()
    )


async def _fail(exchange: Exchange) -> None:
    await exchange.sock.close()


class HeadRequestsTest(unittest.TestCase):
    """Two requests on one connection, so that a body would be noticed."""

    def test_response_of_the_node_has_a_body(self) -> None:
        """The client gets the head, and the connection stays usable."""
        for path, key, status in (
            ('/other/x', KEY, 404),
            ('/safe/x', 'wrong', 401),
            ('/unsafe/x', KEY, 502),
        ):
            with self.subTest(path=path):
                first, second = _ask(path, key, PLAIN)
                self._check(first, status)
                self._check(second, status)
                self.assertNotIn('content-length: 0\r\n', first)

    def test_stream_of_the_node_has_a_body(self) -> None:
        """The same on routes of streams."""
        for head in _ask('/once/x', KEY, ENGINES):
            self._check(head, 502)

    def test_length_of_the_target_is_replaced(self) -> None:
        """The client learns the length that the target has told."""
        for head in _ask('/safe/x', KEY, PLAIN, answer=_answer_head):
            self._check(head, 200)
            self.assertIn('content-length: 1234\r\n', head)

    def test_length_breaks_the_response_of_a_peer(self) -> None:
        """A peer frames its response to this node as one with a body."""
        helper = HelperNode('n1', (_answer_head,), service=PLAIN)
        received: list[str] = []

        async def scenario(testbed: PeerTestbed) -> None:  # noqa: WPS430
            received.extend(await _exchange(testbed.own, '/safe/x', KEY))

        curio.run(PeerTestbed(helper).run, scenario)
        for head in received:
            self._check(head, 200)

    def _check(self, head: str, status: int) -> None:
        self.assertTrue(head.startswith(f'HTTP/1.1 {status} '), head)
        self.assertTrue(head.endswith(_HEAD_END.decode()), head)
        self.assertEqual(head.count(_HEAD_END.decode()), 1, head)


def _ask(
    path: str, key: str, service: str, answer: Script = _fail
) -> tuple[str, str]:
    """Return what a client receives for two requests, one after the other."""
    testbed = GatewayTestbed(answer, service=service)
    received: list[str] = []

    async def scenario(_testbed: GatewayTestbed) -> None:  # noqa: WPS430
        received.extend(await _exchange(testbed, path, key))

    curio.run(testbed.run, scenario)
    return received[0], received[1]


async def _exchange(testbed: GatewayTestbed, path: str, key: str) -> list[str]:
    address = testbed.server.address
    sock = await curio.open_connection(address.host, address.port)
    received = []
    async with sock:
        for _ in range(2):
            await sock.sendall(_request(path, key))
            received.append(await _receive(sock))
    return received


async def _receive(sock: curio.io.Socket) -> str:
    received = b''
    while _HEAD_END not in received:
        part = await curio.timeout_after(
            _ANSWER_SECONDS, sock.recv, _READ_BYTES
        )
        if not part:
            break
        received += part
    return received.decode()


def _request(path: str, key: str) -> bytes:
    lines = (
        f'HEAD {path} HTTP/1.1',
        f'host: {HOST}',
        'request-id: r1',
        'model: m',
        'deadline-ms: 3000',
        f'authorization: Bearer {key}',
    )
    return '\r\n'.join((*lines, '', '')).encode()
