"""The asking side of HTTP against a server on a socket."""

import socket
import unittest
from collections.abc import Sequence

import curio

from cranecart.exceptions import ConnectionBrokenError
from cranecart.http import Address, HttpConnection, Request

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
        while piece := await connection.read_piece():
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
