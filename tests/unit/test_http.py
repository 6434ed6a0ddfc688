"""Both sides of HTTP over real sockets."""

import itertools
import socket
import unittest
from collections.abc import Sequence

import curio

from cranecart.exceptions import ConnectFailedError, ConnectionBrokenError
from cranecart.http import (
    Address,
    HttpConnection,
    HttpServer,
    Request,
    Responder,
    Response,
    ServerLimits,
)

_HEAD = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
_END = b'0\r\n\r\n'


async def _serve(listener: curio.io.Socket, writes: Sequence[bytes]) -> None:
    sock, _ = await listener.accept()
    async with sock:
        await sock.recv(65536)
        for write in writes:
            await sock.sendall(write)
            await curio.sleep(0.05)


async def _pieces(writes: Sequence[bytes]) -> list[bytes]:
    listener = curio.io.Socket(socket.create_server(('127.0.0.1', 0)))
    address = Address(*listener.getsockname()[:2])
    serving = await curio.spawn(_serve, listener, writes)
    connection = await HttpConnection.open(address)
    pieces = []
    await connection.send(Request('GET', '/'))
    await connection.read_head()
    async with listener:
        while piece := await connection.read_chunk():
            pieces.append(piece)
    await connection.close()
    await serving.join()
    return pieces


class ReadPieceTest(unittest.TestCase):
    """What one read brings is one piece."""

    def test_chunks_of_one_read_come_together(self) -> None:
        """So that they are passed on in one write."""
        writes = [_HEAD, b'1\r\na\r\n1\r\nb\r\n', b'1\r\nc\r\n%b' % _END]
        self.assertEqual(curio.run(_pieces, writes), [b'ab', b'c'])

    def test_a_chunk_cut_in_two(self) -> None:
        """Its parts come as they arrive, and nothing is lost."""
        writes = [_HEAD, b'4\r\nab', b'cd\r\n', _END]
        self.assertEqual(b''.join(curio.run(_pieces, writes)), b'abcd')

    def test_a_body_without_its_end_is_no_answer(self) -> None:
        """A connection that breaks off is told from one that ended."""
        with self.assertRaises(ConnectionBrokenError):
            curio.run(_pieces, [_HEAD, b'1\r\na\r\n'])


class HostileClientTest(unittest.TestCase):
    """What a server with short bounds does with bad clients."""

    def setUp(self) -> None:
        """Forget what was handled."""
        self.handled: list[Request] = []

    def test_slow_dripped(self) -> None:
        """A request that does not arrive whole in time is a 408."""
        drips = [bytes((one,)) for one in b'GET / HTTP/1.1\r\nhost: x\r\n']
        answer = curio.run(self._talk, drips)
        self.assertIn(b' 408 ', answer.partition(b'\r\n')[0])
        self.assertEqual(self.handled, [])

    def test_goes_on_sending_after_a_refusal(self) -> None:
        """Who is refused early can still read why."""
        head = b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 900000\r\n\r\n'
        answer = curio.run(
            self._talk, [head, *itertools.repeat(b'x' * 9000, 12)]
        )
        self.assertIn(b' 413 ', answer.partition(b'\r\n')[0])
        self.assertEqual(self.handled, [])

    def test_half_sent(self) -> None:
        """A body that ends too early reaches no handler."""
        sent = b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nab'
        curio.run(self._talk, [sent])
        self.assertEqual(self.handled, [])

    def test_body_over_the_bound(self) -> None:
        """Also where its length was not announced."""
        head = b'POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n'
        chunk = b'8\r\nabcdefgh\r\n'
        answer = curio.run(self._talk, [b'%b\r\n%b' % (head, chunk * 9)])
        self.assertIn(b' 413 ', answer.partition(b'\r\n')[0])
        self.assertEqual(self.handled, [])

    def test_whole(self) -> None:
        """A good request is handled, whatever the cuts."""
        sent = [b'GET /x HTTP/1.1\r\nho', b'st: x\r\n', b'\r\n']
        answer = curio.run(self._talk, sent)
        self.assertIn(b' 200 ', answer.partition(b'\r\n')[0])
        self.assertEqual([one.path for one in self.handled], ['/x'])

    async def _handle(self, request: Request, responder: Responder) -> None:
        self.handled.append(request)
        await responder.send(Response(200))

    async def _talk(self, writes: Sequence[bytes]) -> bytes:
        limits = ServerLimits(body_bytes=64, receive_seconds=0.5)
        server = HttpServer(Address('127.0.0.1', 0), self._handle, limits)
        server.open()
        serving = await curio.spawn(server.run)
        sock = await curio.open_connection('127.0.0.1', server.address.port)
        async with sock:
            for write in writes:
                await sock.sendall(write)
                await curio.sleep(0.02)
            await sock.shutdown(socket.SHUT_WR)
            answer: bytes = await sock.recv(65536)
        await serving.cancel()
        return answer


class StopListeningTest(unittest.TestCase):
    """What a server does that accepts nothing more."""

    def test_connections_go_on(self) -> None:
        """A request under way is answered, a new connection is refused."""
        curio.run(self._stop)

    async def _answer_late(
        self,
        request: Request,
        responder: Responder,
    ) -> None:
        await curio.sleep(0.2)
        await responder.send(Response(200))

    async def _stop(self) -> None:
        server = HttpServer(Address('127.0.0.1', 0), self._answer_late)
        server.open()
        address = server.address
        serving = await curio.spawn(server.run)
        connection = await HttpConnection.open(address)
        await connection.send(Request('GET', '/'))
        await curio.sleep(0.05)
        server.disable_keep_alive()
        await server.stop_listening()
        with self.assertRaises(ConnectFailedError):
            await HttpConnection.open(address)
        head = await connection.read_head()
        self.assertEqual(head.status, 200)
        self.assertEqual(head.headers['connection'], 'close')
        self.assertFalse(serving.terminated)
        await connection.close()
        await serving.cancel()
