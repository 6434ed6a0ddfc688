"""The answering side of HTTP: a listener with one task a connection."""

import contextlib
import errno
import logging
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import curio
import h11
from curio.errors import TaskTimeout

from cranecart.clocks import since_boot
from cranecart.exceptions import BadMessageError, ConnectionBrokenError
from cranecart.http._messages import (
    Address,
    HeaderLines,
    Headers,
    Request,
    Response,
    decode_lines,
    encode_headers,
    json_response,
)
from cranecart.listening import take_listener

_LOG = logging.getLogger(__name__)
_READ_BYTES = 65536
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
_STATUS_BAD_REQUEST = 400
_STATUS_TIMEOUT = 408
_STATUS_TOO_LARGE = 413


@attrs.frozen
class ServerLimits:
    """Bounds on what one client can make the server hold or wait for."""

    head_bytes: int = 16384
    body_bytes: int = 1048576
    receive_seconds: float = 10.0
    idle_seconds: float = 60.0
    write_seconds: float = 30.0
    connections: int = 4096


Handler = Callable[[Request, 'Responder'], Awaitable[None]]


class Responder:
    """Writes the response to one request, whole or piece by piece."""

    def __init__(
        self,
        sock: curio.io.Socket,
        connection: h11.Connection,
        write_seconds: float,
        is_closing: Callable[[], bool],
    ) -> None:
        """Wrap the connection that the request came on."""
        self._sock = sock
        self._h11 = connection
        self._write_seconds = write_seconds
        self._is_closing = is_closing
        self._first_byte_at: float | None = None

    @property
    def has_started(self) -> bool:
        """Tell whether the response's head was sent."""
        return self._h11.our_state not in {h11.IDLE, h11.SEND_RESPONSE}

    def seconds_to_first_byte(self, since: float) -> float | None:
        """Return how long it took until the response began, if it has."""
        if self._first_byte_at is None:
            return None
        return self._first_byte_at - since

    async def send(self, response: Response) -> None:
        """Send a whole response."""
        await self._write(
            self._head(
                response.status,
                response.lines or response.headers,
                ('content-length', str(len(response.body))),
            ),
            h11.Data(data=response.body),
            h11.EndOfMessage(),
        )

    async def start(self, status: int, headers: Headers | HeaderLines) -> None:
        """Send the head of a response whose body comes in pieces."""
        await self._write(self._head(status, headers))

    async def write(self, piece: bytes) -> None:
        """Send a piece of the body; its caller bounds the time."""
        encoded = self._h11.send(h11.Data(data=piece))
        try:
            await self._sock.sendall(encoded)
        except OSError as error:
            raise ConnectionBrokenError('the client went away') from error

    async def end(self) -> None:
        """Send the end of the body."""
        await self._write(h11.EndOfMessage())

    async def client_left(self) -> None:
        """Return once the client closed its side.

        Whatever it sends instead is kept for the next request.
        """
        try:
            while received := await self._sock.recv(_READ_BYTES):
                self._h11.receive_data(received)
        except OSError:
            return

    def _head(
        self,
        status: int,
        headers: Headers | HeaderLines,
        *more: tuple[str, str],
    ) -> h11.Response:
        closing = [('connection', 'close')] if self._is_closing() else []
        return h11.Response(
            status_code=status,
            headers=[
                *encode_headers(headers),
                *encode_headers((*more, *closing)),
            ],
        )

    async def _write(self, *events: h11.Event) -> None:
        if self._first_byte_at is None:
            self._first_byte_at = since_boot()
        pieces = [self._h11.send(event) for event in events]
        try:
            await curio.timeout_after(
                self._write_seconds,
                self._sock.sendall,
                b''.join(filter(None, pieces)),
            )
        except (OSError, TaskTimeout) as error:
            raise ConnectionBrokenError('the client went away') from error


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

    def refuse_new(self) -> None:
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
                await _refuse(responder, error)
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
        try:
            return await curio.timeout_after(
                self.limits.receive_seconds,
                self._receive_whole,
                sock,
                connection,
            )
        except TaskTimeout as error:
            raise BadMessageError(
                'the request did not arrive whole in time',
                _STATUS_TIMEOUT,
            ) from error
        except h11.RemoteProtocolError as error:
            raise BadMessageError(
                str(error),
                error.error_status_hint,
            ) from error

    async def _wait_for_request(self, sock: curio.io.Socket) -> bytes:
        self._idle[sock] = None
        try:
            return await curio.timeout_after(
                self.limits.idle_seconds,
                sock.recv,
                _READ_BYTES,
            )
        except TaskTimeout:
            return b''
        finally:
            self._idle.pop(sock, None)

    async def _receive_whole(
        self,
        sock: curio.io.Socket,
        connection: h11.Connection,
    ) -> Request:
        head = await _next_event(sock, connection)
        if not isinstance(head, h11.Request):
            raise ConnectionBrokenError('closed before a request')
        self._check_announced(head)
        await _answer_expectation(sock, connection)
        body = bytearray()
        event = await _next_event(sock, connection)
        while isinstance(event, h11.Data):
            body += event.data
            self._check_size(len(body))
            event = await _next_event(sock, connection)
        if not isinstance(event, h11.EndOfMessage):
            raise ConnectionBrokenError('closed mid-request')
        _check_not_pipelined(connection)
        return _to_request(head, bytes(body))

    def _check_announced(self, head: h11.Request) -> None:
        announced = dict(head.headers).get(b'content-length', b'0')
        self._check_size(int(announced))

    def _check_size(self, size: int) -> None:
        if size > self.limits.body_bytes:
            raise BadMessageError(
                f'the body is over {self.limits.body_bytes} bytes',
                _STATUS_TOO_LARGE,
            )


async def _next_event(
    sock: curio.io.Socket,
    connection: h11.Connection,
) -> object:
    event = connection.next_event()
    while event is h11.NEED_DATA:
        connection.receive_data(await sock.recv(_READ_BYTES))
        event = connection.next_event()
    return event


async def _answer_expectation(
    sock: curio.io.Socket,
    connection: h11.Connection,
) -> None:
    if connection.they_are_waiting_for_100_continue:
        go_on = h11.InformationalResponse(status_code=100, headers=[])
        await sock.sendall(connection.send(go_on))


def _check_not_pipelined(connection: h11.Connection) -> None:
    trailing, _closed = connection.trailing_data
    if trailing:
        raise BadMessageError('pipelined requests are not supported')


def _to_request(head: h11.Request, body: bytes) -> Request:
    lines = decode_lines(head.headers)
    return Request(
        head.method.decode('ascii'),
        head.target.decode('ascii'),
        dict(lines),
        body,
        lines,
    )


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
    received = await sock.recv(_READ_BYTES)
    while received:
        received = await sock.recv(_READ_BYTES)


async def _refuse(responder: Responder, error: BadMessageError) -> None:
    answer = json_response(
        error.status,
        {
            'error': {
                'code': 'bad_request',
                'message': str(error),
                'execution': 'not run',
                'retry_after_seconds': None,
            },
        },
        {'connection': 'close'},
    )
    await responder.send(answer)
