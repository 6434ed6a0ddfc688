"""Kept connections follow the limits that change while they are open."""

import socket
import unittest
from collections.abc import Awaitable, Callable

import attrs
import curio

from cranecart.http import (
    Address,
    HttpServer,
    Request,
    Responder,
    Response,
    ServerLimits,
)

_LIMITS = ServerLimits(head_bytes=2000, body_bytes=2000)
_SMALL = 1000
_LARGE = 4000
_IDLE_SECONDS = 0.3
_PART_SECONDS = 0.05

Scenario = Callable[[HttpServer, curio.io.Socket], Awaitable[None]]


class LimitsInForceTest(unittest.TestCase):
    """Each request is checked against the limits as it begins."""

    def test_head_refused_after_the_limit_was_raised(self) -> None:
        """A head that the new limit allows is accepted, also in parts."""
        curio.run(_with_connection, self._raise_head_limit)

    def test_head_accepted_after_the_limit_was_lowered(self) -> None:
        """A head above the new limit is refused, also if it arrives whole."""
        curio.run(_with_connection, self._lower_head_limit)

    def test_body_limit_of_an_earlier_configuration(self) -> None:
        """The same holds for bodies, in both directions."""
        curio.run(_with_connection, self._change_body_limit)

    def test_connection_closed_after_an_earlier_idle_time(self) -> None:
        """A connection may rest for as long as the new idle time."""
        curio.run(_with_connection, self._raise_idle_limit)

    async def _raise_head_limit(
        self, server: HttpServer, sock: curio.io.Socket
    ) -> None:
        self.assertEqual(await _request(sock, _SMALL), 200)
        server.limits = attrs.evolve(_LIMITS, head_bytes=2 * _LARGE)
        status = await _request(sock, _LARGE, arrives_in_parts=True)
        self.assertEqual(status, 200)

    async def _lower_head_limit(
        self, server: HttpServer, sock: curio.io.Socket
    ) -> None:
        server.limits = attrs.evolve(_LIMITS, head_bytes=2 * _LARGE)
        self.assertEqual(await _request(sock, _LARGE), 200)
        server.limits = _LIMITS
        self.assertEqual(await _request(sock, _LARGE), 431)

    async def _change_body_limit(
        self, server: HttpServer, sock: curio.io.Socket
    ) -> None:
        server.limits = attrs.evolve(_LIMITS, body_bytes=2 * _LARGE)
        self.assertEqual(await _request(sock, _SMALL, _LARGE), 200)
        server.limits = _LIMITS
        self.assertEqual(await _request(sock, _SMALL, _LARGE), 413)

    async def _raise_idle_limit(
        self, server: HttpServer, sock: curio.io.Socket
    ) -> None:
        server.limits = attrs.evolve(_LIMITS, idle_seconds=_IDLE_SECONDS)
        self.assertEqual(await _request(sock, _SMALL), 200)
        await curio.sleep(_IDLE_SECONDS / 2)
        server.limits = attrs.evolve(_LIMITS, idle_seconds=_IDLE_SECONDS * 10)
        await curio.sleep(_IDLE_SECONDS)
        self.assertEqual(await _request(sock, _SMALL), 200)


async def _with_connection(scenario: Scenario) -> None:
    async def handle(_request: Request, responder: Responder) -> None:  # noqa: WPS430
        await responder.send(Response(200))

    server = HttpServer(Address('127.0.0.1', 0), handle, _LIMITS)
    server.open()
    serving = await curio.spawn(server.run)
    sock = curio.io.Socket(socket.socket())
    async with sock:
        await sock.connect((server.address.host, server.address.port))
        await scenario(server, sock)
    await serving.cancel()


async def _request(
    sock: curio.io.Socket,
    head_bytes: int,
    body_bytes: int = 0,
    *,
    arrives_in_parts: bool = False,
) -> int:
    """Send a request; return the status, or 0 on a closed connection."""
    head = (
        'POST / HTTP/1.1\r\nHost: a\r\n'
        f'Content-Length: {body_bytes}\r\nX-Fill: {"x" * head_bytes}\r\n\r\n'
    )
    # The parts of a head are read one by one.
    await sock.sendall(head[:-10].encode())
    if arrives_in_parts:
        await curio.sleep(_PART_SECONDS)
    await sock.sendall(head[-10:].encode() + b'y' * body_bytes)
    answer = await sock.recv(65536)
    return int(answer.split()[1]) if answer else 0
