"""The HTTP client and server over real sockets."""

import itertools
import socket
import time
import unittest
from collections.abc import Awaitable, Callable, Sequence

import attrs
import curio
import h11
from curio.errors import TaskTimeout

from cranecart.exceptions import ConnectFailedError, ConnectionBrokenError
from cranecart.http import (
    Address,
    HttpConnection,
    HttpServer,
    PartialRequests,
    Request,
    Responder,
    Response,
    ResponseLimits,
    ResponseMemory,
    ServerLimits,
)
from cranecart.http._request_reader import RequestSource, receive_request
from cranecart.http._server import discard
from tests.lib.waiting import core_clock

_HEAD = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
_END = b'0\r\n\r\n'
# Other tasks wait some milliseconds. A read of 64 KiB in small chunks takes over
# a tenth of a second, and an endless response never ends.
_MAX_WAIT_SECONDS = 0.1
# More than the kernel receives on a connection before it is read.
_MAX_UNREAD_BYTES = 16000000


async def _serve(listener: curio.io.Socket, writes: Sequence[bytes]) -> None:
    sock, _ = await listener.accept()
    async with sock:
        await sock.recv(65536)
        for write in writes:
            await sock.sendall(write)
            await curio.sleep(0.05)


async def _read_chunks(writes: Sequence[bytes]) -> list[bytes]:
    listener = curio.io.Socket(socket.create_server(('127.0.0.1', 0)))
    address = Address(*listener.getsockname()[:2])
    serving = await curio.spawn(_serve, listener, writes)
    connection = await HttpConnection.open(address)
    chunks = []
    await connection.send(Request('GET', '/'))
    await connection.read_head()
    async with listener:
        while chunk := await connection.read_chunk():
            chunks.append(chunk)
    await connection.close()
    await serving.join()
    return chunks


class ReadChunkTest(unittest.TestCase):
    """Reading a body in chunks."""

    def test_chunks_of_one_read_are_joined(self) -> None:
        """They can then be forwarded in one write."""
        writes = [_HEAD, b'1\r\na\r\n1\r\nb\r\n', b'1\r\nc\r\n%b' % _END]
        self.assertEqual(curio.run(_read_chunks, writes), [b'ab', b'c'])

    def test_chunk_received_in_two_parts(self) -> None:
        """Its parts are returned as they arrive, and no data is lost."""
        writes = [_HEAD, b'4\r\nab', b'cd\r\n', _END]
        self.assertEqual(b''.join(curio.run(_read_chunks, writes)), b'abcd')

    def test_truncated_body_is_an_error(self) -> None:
        """A broken connection is not mistaken for the end of the body."""
        with self.assertRaises(ConnectionBrokenError):
            curio.run(_read_chunks, [_HEAD, b'1\r\na\r\n'])


@attrs.define
class _ReadySocket:
    """A socket that has always received a part of an endless response."""

    part: bytes
    head: bytes = b''
    # Ends the test if nothing else ever runs.
    ends_at: float = attrs.field(
        factory=lambda: time.monotonic() + 10 * _MAX_WAIT_SECONDS
    )

    async def sendall(self, _request: bytes) -> None:
        """Accept a request."""

    async def recv(self, _size: int) -> bytes:
        """Return the head, then the same part again and again."""
        if time.monotonic() > self.ends_at:
            raise ConnectionResetError
        received = self.head or self.part
        self.head = b''
        return received

    async def close(self) -> None:
        """Close nothing."""


async def _run_beside_another_task(
    read: Callable[[_ReadySocket], Awaitable[object]], sock: _ReadySocket
) -> Sequence[float]:
    """Read for a while; return the times that another task had to wait."""
    reading = await curio.spawn(read, sock, daemon=True)
    waits = []
    for _ in range(5):
        started = core_clock()
        await curio.sleep(0)
        waits.append(core_clock() - started)
    await reading.cancel()
    return waits


async def _read_response(sock: _ReadySocket) -> None:
    unbounded = ResponseLimits.from_megabytes(event=0, body=0, total=0)
    connection = HttpConnection(
        Address('127.0.0.1', 1),
        sock,
        ResponseMemory(unbounded),
    )
    await connection.send(Request('GET', '/'))
    await connection.read_head()
    await connection.read_body()


async def _receive_request(sock: _ReadySocket) -> None:
    connection = h11.Connection(h11.SERVER)
    await receive_request(
        RequestSource(sock, connection),
        ServerLimits(),
        PartialRequests().admits,
    )


class EndlessResponseTest(unittest.TestCase):
    """Responses that always have more to read."""

    def test_endless_response_starves_other_tasks(self) -> None:
        """Others run meanwhile, whatever the response consists of."""
        chunked = b'%x\r\n%b\r\n'
        for name, head, part in (
            ('large chunks', _HEAD, chunked % (16384, b'x' * 16384)),
            ('small chunks', _HEAD, chunked % (1, b'x') * 10000),
            ('small reads', _HEAD, chunked % (1, b'x')),
            ('interim', b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 2500),
        ):
            with self.subTest(name=name):
                sock = _ReadySocket(part, head)
                waits = curio.run(
                    _run_beside_another_task, _read_response, sock
                )
                self.assertLess(max(waits), _MAX_WAIT_SECONDS)


class FaultyClientTest(unittest.TestCase):
    """A server with low limits and clients that violate them."""

    def setUp(self) -> None:
        """Start without handled requests."""
        self.handled: list[Request] = []

    def test_slow_request_times_out(self) -> None:
        """An incomplete request is answered with 408."""
        single_bytes = [
            bytes((byte,)) for byte in b'GET / HTTP/1.1\r\nhost: x\r\n'
        ]
        answer = curio.run(self._send_raw, single_bytes)
        self.assertIn(b' 408 ', answer.partition(b'\r\n')[0])
        self.assertEqual(self.handled, [])

    def test_client_that_goes_on_sending_gets_the_error(self) -> None:
        """A client rejected early can still read the response."""
        head = b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 900000\r\n\r\n'
        answer = curio.run(
            self._send_raw, [head, *itertools.repeat(b'x' * 9000, 12)]
        )
        self.assertIn(b' 413 ', answer.partition(b'\r\n')[0])
        self.assertEqual(self.handled, [])

    def test_truncated_request_is_not_handled(self) -> None:
        """A request whose body ends early does not reach the handler."""
        sent = b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nab'
        curio.run(self._send_raw, [sent])
        self.assertEqual(self.handled, [])

    def test_chunked_body_over_the_limit(self) -> None:
        """The limit also applies to a body of undeclared length."""
        head = b'POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n'
        chunk = b'8\r\nabcdefgh\r\n'
        answer = curio.run(self._send_raw, [b'%b\r\n%b' % (head, chunk * 9)])
        self.assertIn(b' 413 ', answer.partition(b'\r\n')[0])
        self.assertEqual(self.handled, [])

    def test_request_received_in_parts(self) -> None:
        """A valid request is handled, however it is split."""
        sent = [b'GET /x HTTP/1.1\r\nho', b'st: x\r\n', b'\r\n']
        answer = curio.run(self._send_raw, sent)
        self.assertIn(b' 200 ', answer.partition(b'\r\n')[0])
        self.assertEqual([request.path for request in self.handled], ['/x'])

    async def _handle(self, request: Request, responder: Responder) -> None:
        self.handled.append(request)
        await responder.send(Response(200))

    async def _send_raw(self, writes: Sequence[bytes]) -> bytes:
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


class EndlessClientTest(unittest.TestCase):
    """Clients that go on sending after their request."""

    def setUp(self) -> None:
        """Start without a request."""
        self.is_handled = curio.Event()

    def test_endless_request_starves_other_tasks(self) -> None:
        """Others run while it is received, and while it is discarded."""
        head = b'POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n'
        part = b'1\r\nx\r\n' * 10000
        for read in (_receive_request, discard):
            with self.subTest(read=read.__name__):
                sock = _ReadySocket(part, b'%b\r\n' % head)
                waits = curio.run(_run_beside_another_task, read, sock)
                self.assertLess(max(waits), _MAX_WAIT_SECONDS)

    def test_bytes_after_a_request_are_kept_without_bound(self) -> None:
        """Only some are read until it is answered."""
        sent = curio.run(self._send_beyond_request)
        self.assertLess(sent, _MAX_UNREAD_BYTES)

    async def _wait_until_gone(
        self, _request: Request, responder: Responder
    ) -> None:
        await self.is_handled.set()
        await responder.wait_for_disconnect()

    async def _send_beyond_request(self) -> int:
        server = HttpServer(Address('127.0.0.1', 0), self._wait_until_gone)
        server.open()
        serving = await curio.spawn(server.run)
        sock = await curio.open_connection('127.0.0.1', server.address.port)
        await sock.sendall(b'GET / HTTP/1.1\r\nhost: x\r\n\r\n')
        await self.is_handled.wait()
        sent = 0
        try:
            while sent < 4 * _MAX_UNREAD_BYTES:
                sent += await curio.timeout_after(0.5, sock.send, bytes(65536))
        except TaskTimeout:
            await sock.close()
        await serving.cancel()
        return sent


class StopListeningTest(unittest.TestCase):
    """A server that has stopped accepting connections."""

    def test_open_connections_are_served(self) -> None:
        """An open request is answered; a new connection is refused."""
        curio.run(self._stop_with_open_request)

    async def _answer_late(
        self,
        request: Request,
        responder: Responder,
    ) -> None:
        await curio.sleep(0.2)
        await responder.send(Response(200))

    async def _stop_with_open_request(self) -> None:
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
