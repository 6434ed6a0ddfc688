"""The answering side of HTTP: a listener with one task a connection."""

import contextlib
import errno
import logging
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import h11
from curio.errors import TaskTimeout

from cranecart.clocks import since_boot
from cranecart.exceptions import BadMessageError, ConnectionBrokenError
from cranecart.http._limits import READ_BYTES, ServerLimits
from cranecart.http._messages import Address, Request
from cranecart.http._request_reader import receive_request
from cranecart.http._responder import Responder, send_error
from cranecart.listening import take_listener

_LOG = logging.getLogger(__name__)
_ACCEPT_AGAIN_SECONDS = 0.05
# How often a server without places looks whether one has become free, and
# which part of its idle connections it closes at a time.
_ROOM_LOOK_SECONDS = 0.01
_CLOSED_PART = 0.03
# How long a server counts as full since it last found no place.
_FULL_SECONDS = 0.5
_NO_DESCRIPTOR = frozenset((errno.EMFILE, errno.ENFILE))
# Some round trips; a client that goes on sending for longer is cut off.
_LINGER_SECONDS = 1.0


Handler = Callable[[Request, 'Responder'], Awaitable[None]]


class HttpServer:
    """A listener on one address that hands each request to a handler."""

    def __init__(
        self,
        address: Address,
        handler: Handler,
        limits: ServerLimits | None = None,
    ) -> None:
        """Keep the settings; nothing listens until ``open`` is called."""
        self._requested = address
        self._handler = handler
        self.limits = limits or ServerLimits()
        self._listener: Any = None
        self._connections = 0
        self._closing = False
        self._accepting: curio.Task | None = None
        # In the order in which they became idle.
        self._idle: dict[curio.io.Socket, None] = {}
        self._full_until = float('-inf')

    @property
    def address(self) -> Address:
        """Return the bound address, with the port the kernel gave."""
        if self._listener is None:
            return self._requested
        return Address(*self._listener.getsockname()[:2])

    @property
    def is_full(self) -> bool:
        """Tell whether new connections wait, as all places are busy."""
        return since_boot() < self._full_until

    def open(self) -> None:
        """Bind and listen; raise ``OSError`` if the address is taken."""
        self._listener = curio.io.Socket(
            take_listener(self._requested.host, self._requested.port),
        )

    async def run(self) -> None:
        """Accept connections until cancelled."""
        if self._listener is None:
            self.open()
        self._accepting = await curio.spawn(self._accept_all)
        try:
            await self._accepting.wait()
            # The listener was closed on purpose; its connections go on.
            await curio.Event().wait()
        finally:
            await self._accepting.cancel()

    async def stop_listening(self) -> None:
        """Accept nothing more; the connections that there are go on."""
        if self._accepting is not None:
            await self._accepting.cancel()

    def disable_keep_alive(self) -> None:
        """Ask clients to close their connections after the next answer."""
        self._closing = True

    async def close_idle(self) -> None:
        """Close the connections that wait for a request."""
        for sock in list(self._idle):
            await sock.shutdown(socket.SHUT_RDWR)

    async def _accept_all(self) -> None:
        async with self._listener:
            while True:
                try:
                    sock, _peer = await self._listener.accept()
                except OSError as error:
                    await self._wait_after(error)
                else:
                    await self._begin(sock)

    async def _wait_after(self, error: OSError) -> None:
        # No descriptor is free, or a client left in the queue.
        _LOG.warning('a connection was not accepted: %s', error)
        if error.errno in _NO_DESCRIPTOR:
            await self._make_room()
        await curio.sleep(_ACCEPT_AGAIN_SECONDS)

    async def _wait_for_room(self) -> None:
        """Return once one connection more can be served.

        Nobody is told why a connection closes, so that new ones wait while
        the balancer hears that the server is full.
        """
        while self._connections >= self.limits.connections:
            await self._make_room()
            await curio.sleep(_ROOM_LOOK_SECONDS)
        self._full_until = float('-inf')

    async def _make_room(self) -> None:
        """Close those that are idle the longest, or say that all are busy."""
        if not self._idle:
            self._full_until = since_boot() + _FULL_SECONDS
        count = max(1, int(len(self._idle) * _CLOSED_PART))
        for sock in list(self._idle)[:count]:
            self._idle.pop(sock)
            # Its task finds the end and closes it.
            with contextlib.suppress(OSError):
                await sock.shutdown(socket.SHUT_RDWR)

    async def _begin(self, sock: curio.io.Socket) -> None:
        try:
            await self._wait_for_room()
        except curio.CancelledError:
            await sock.close()
            raise
        # Many may be accepted before the first of their tasks begins.
        self._connections += 1
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # A task group would keep every ended task until it ends itself.
        await curio.spawn(self._serve, sock, daemon=True)

    async def _serve(self, sock: curio.io.Socket) -> None:
        try:
            await self._serve_requests(sock)
        except (ConnectionBrokenError, OSError, h11.LocalProtocolError):
            _LOG.debug('a client closed its connection early')
        except curio.CancelledError:
            raise
        except Exception:
            _LOG.exception('a connection ended with an unexpected error')
        finally:
            self._connections -= 1
            await sock.close()

    async def _serve_requests(self, sock: curio.io.Socket) -> None:
        connection = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self.limits.head_bytes,
        )
        responder = self._responder(sock, connection)
        while True:
            try:
                request = await self._receive(sock, connection)
            except BadMessageError as error:
                await send_error(responder, error)
                await _let_client_read(sock)
                return
            if request is None:
                return
            await self._handler(request, responder)
            if self._closing or not _can_continue(connection):
                return
            connection.start_next_cycle()
            responder = self._responder(sock, connection)

    def _responder(
        self,
        sock: curio.io.Socket,
        connection: h11.Connection,
    ) -> Responder:
        return Responder(
            sock,
            connection,
            self.limits.write_seconds,
            lambda: self._closing,
        )

    async def _receive(
        self,
        sock: curio.io.Socket,
        connection: h11.Connection,
    ) -> Request | None:
        if not connection.trailing_data[0]:
            first = await self._wait_for_request(sock)
            if not first:
                return None
            connection.receive_data(first)
        return await receive_request(sock, connection, self.limits)

    async def _wait_for_request(self, sock: curio.io.Socket) -> bytes:
        self._idle[sock] = None
        try:
            return await curio.timeout_after(
                self.limits.idle_seconds,
                sock.recv,
                READ_BYTES,
            )
        except TaskTimeout:
            return b''
        finally:
            self._idle.pop(sock, None)


def _can_continue(connection: h11.Connection) -> bool:
    return (
        connection.our_state is h11.DONE and connection.their_state is h11.DONE
    )


async def _let_client_read(sock: curio.io.Socket) -> None:
    """Take what a refused client still sends, for a short while.

    Closing with bytes unread resets the connection, and the client might
    lose the refusal before it has read it.
    """
    try:
        await sock.shutdown(socket.SHUT_WR)
        await curio.timeout_after(_LINGER_SECONDS, _discard, sock)
    except TaskTimeout:
        _LOG.debug('a refused client goes on sending')


async def _discard(sock: curio.io.Socket) -> None:
    received = await sock.recv(READ_BYTES)
    while received:
        received = await sock.recv(READ_BYTES)
