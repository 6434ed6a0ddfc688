"""A request that arrives as its idle connection is closed is not run unanswered.

The connection was shut down while the request waited to be read. It was then
read and run, and its client got no answer.
"""

import socket
import unittest

import curio

from cranecart.http import (
    Address,
    HttpServer,
    Request,
    Responder,
    Response,
)

_REQUEST = b'GET / HTTP/1.1\r\nhost: a.example\r\n\r\n'
_SETTLE_SECONDS = 0.05


class ClosingIdleTest(unittest.TestCase):
    """A server that closes its idle connections as it stops."""

    def test_request_read_from_a_connection_that_was_closed(self) -> None:
        """It is either answered or left unread, so that it may be repeated."""
        curio.run(self._close_as_a_request_arrives)

    async def _close_as_a_request_arrives(self) -> None:
        handled: list[Request] = []

        async def handle(request: Request, responder: Responder) -> None:  # noqa: WPS430
            handled.append(request)
            await responder.send(Response(200))

        server = HttpServer(Address('127.0.0.1', 0), handle)
        server.open()
        serving = await curio.spawn(server.run)
        address = (server.address.host, server.address.port)
        with socket.create_connection(address) as client:
            # Until the server waits for a request.
            await curio.sleep(_SETTLE_SECONDS)
            client.sendall(_REQUEST)
            # No other task of the server runs in between.
            await server.close_idle()
            await curio.sleep(_SETTLE_SECONDS)
            client.setblocking(False)
            answer = _received(client)
        await serving.cancel()
        self.assertEqual(bool(handled), bool(answer))


def _received(client: socket.socket) -> bytes:
    try:
        return client.recv(1000)
    except (BlockingIOError, ConnectionResetError):
        return b''


if __name__ == '__main__':
    unittest.main()
