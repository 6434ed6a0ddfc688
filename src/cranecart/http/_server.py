"""A server with one task for each connection."""

import contextlib
import errno
import logging
import socket
from collections.abc import Callable
from typing import Any

import attrs
import curio
import h11
from curio.errors import TaskTimeout

from cranecart.clocks import since_boot
from cranecart.exceptions import BadMessageError, ConnectionBrokenError
from cranecart.http._arrival import seconds_unread
from cranecart.http._limits import READ_BYTES, ServerLimits
from cranecart.http._messages import Address
from cranecart.http._partial import Handler, PartialRequests
from cranecart.http._receiving import ReceivingRequests
from cranecart.http._request_memory import RequestMemory
from cranecart.http._responder import Responder, send_error
from cranecart.http._turns import ReadingTurn
from cranecart.http._unread import UnreadResponses
from cranecart.listening import take_listener

_LOG = logging.getLogger(__name__)
_ACCEPT_RETRY_SECONDS = 0.05
# How often a server at its connection limit checks for a free slot, and which
# fraction of its idle connections it closes at a time.
_CAPACITY_POLL_SECONDS = 0.01
_IDLE_CLOSE_FRACTION = 0.03
# How long a server reports to be full after it last found no free slot.
_FULL_STATE_SECONDS = 0.5
_NO_DESCRIPTOR_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE))
# Some round trips; a client that keeps sending for longer, or much more, is
# disconnected.
_LINGER_SECONDS = 1.0
_LINGER_BYTES = 1_048_576
_NO_BOUND = float('inf')


def _admit() -> bool:
    """Take every connection."""
    return True


class HttpServer:
    """Listens on one address and passes each request to a handler."""

    def __init__(
        self,
        address: Address,
        handler: Handler,
        limits: ServerLimits | None = None,
        admits_connection: Callable[[], bool] = _admit,
        *,
        memory: RequestMemory | None = None,
        partial: PartialRequests | None = None,
    ) -> None:
        """Store the settings; ``open`` starts to listen.

        New connections that ``admits_connection`` rejects are closed unread.
        ``memory`` bounds what is kept of requests, ``partial`` answers those
        that are not read to their end.
        """
        self.memory = memory or RequestMemory()
        self._receiving = ReceivingRequests()
        self._partial = partial or PartialRequests()
        self._requested_address = address
        self._handler = handler
        self.limits = limits or ServerLimits()
        self._admits_connection = admits_connection
        self.unread = UnreadResponses(lambda: self.limits.unread_bytes)
        self._listener: Any = None
        self.connection_count = 0
        self._closing = False
        self._accept_task: curio.Task | None = None
        # In the order in which they became idle.
        self._idle: dict[curio.io.Socket, None] = {}
        self._full_until = float('-inf')

    @property
    def address(self) -> Address:
        """Return the bound address, with the port that the kernel assigned."""
        if self._listener is None:
            return self._requested_address
        return Address(*self._listener.getsockname()[:2])

    @property
    def is_full(self) -> bool:
        """Return whether new connections wait, as all slots are busy."""
        return since_boot() < self._full_until

    def open(self) -> None:
        """Bind and listen; raise ``OSError`` if the address is taken."""
        self._listener = curio.io.Socket(
            take_listener(
                self._requested_address.host, self._requested_address.port
            ),
        )

    async def run(self) -> None:
        """Accept connections until cancelled."""
        if self._listener is None:
            self.open()
        self._accept_task = await curio.spawn(self._accept_all)
        try:
            await self._accept_task.wait()
            # The listener was closed by stop_listening; connections remain.
            await curio.Event().wait()
        finally:
            await self._accept_task.cancel()

    async def stop_listening(self) -> None:
        """Stop accepting connections; existing ones stay open."""
        if self._accept_task is not None:
            await self._accept_task.cancel()

    def disable_keep_alive(self) -> None:
        """Close each connection after its next response."""
        self._closing = True

    async def close_idle(self) -> None:
        """Close the connections that are waiting for a request."""
        for sock in list(self._idle):
            await self._close_idle(sock)

    async def _accept_all(self) -> None:
        async with self._listener:
            while True:
                try:
                    sock, _peer = await self._listener.accept()
                except OSError as error:
                    await self._handle_accept_error(error)
                else:
                    await self._admit_or_close(sock)

    async def _admit_or_close(self, sock: curio.io.Socket) -> None:
        if self._admits_connection():
            await self._start_connection(sock)
        else:
            await sock.close()

    async def _handle_accept_error(self, error: OSError) -> None:
        # No file descriptor is free, or the client left the accept queue.
        _LOG.warning('could not accept a connection: %s', error)
        if error.errno in _NO_DESCRIPTOR_ERRNOS:
            await self._free_capacity()
        await curio.sleep(_ACCEPT_RETRY_SECONDS)

    async def _wait_for_capacity(self) -> None:
        """Return once another connection can be served.

        A new connection waits rather than being closed, which would give its
        client no reason. Meanwhile ``is_full`` may make health checks fail.
        """
        while self.connection_count >= self.limits.connections:
            await self._free_capacity()
            await curio.sleep(_CAPACITY_POLL_SECONDS)
        self._full_until = float('-inf')

    async def _free_capacity(self) -> None:
        """Close the connections idle longest, or report the server as full.

        Without idle ones, those are closed whose requests make no progress.
        """
        if not self._idle and not await self._receiving.close_stalled():
            self._full_until = since_boot() + _FULL_STATE_SECONDS
        count = max(1, int(len(self._idle) * _IDLE_CLOSE_FRACTION))
        for sock in list(self._idle)[:count]:
            await self._close_idle(sock)

    async def _close_idle(self, sock: curio.io.Socket) -> None:
        """Have the connection's task read the end of file and close it.

        A request that has just arrived stays unread, as it cannot be answered.
        """
        self._idle.pop(sock, None)
        with contextlib.suppress(OSError):
            await sock.shutdown(socket.SHUT_RDWR)

    async def _start_connection(self, sock: curio.io.Socket) -> None:
        try:
            await self._wait_for_capacity()
        except curio.CancelledError:
            await sock.close()
            raise
        # Counted here, as many connections may be accepted before the first of
        # their tasks runs.
        self.connection_count += 1
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.unread.prepare(sock)
        # Not in a task group, which would keep all finished tasks until its end.
        await curio.spawn(self._serve_connection, sock, daemon=True)

    async def _serve_connection(self, sock: curio.io.Socket) -> None:
        try:
            await self._serve_requests(sock)
        except (ConnectionBrokenError, OSError, h11.LocalProtocolError):
            _LOG.debug('client closed its connection early')
        except curio.CancelledError:
            raise
        except Exception:
            _LOG.exception('unexpected error while serving a connection')
        finally:
            self.connection_count -= 1
            await sock.close()

    async def _serve_requests(self, sock: curio.io.Socket) -> None:
        received: bytes | None = await self._wait_for_request(sock)
        while received:
            received = await self._serve_request(sock, received)
            if received == b'':
                received = await self._wait_for_request(sock)

    async def _serve_request(
        self, sock: curio.io.Socket, received: bytes
    ) -> bytes | None:
        """Serve a request within the limits that are in force as it begins.

        Return what has been read of the next one meanwhile, None if the
        connection cannot be used for another one.
        """
        unread = seconds_unread(sock)
        arrived_at = since_boot() - unread
        limits = self.limits
        connection = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=limits.head_bytes,
        )
        connection.receive_data(received)
        responder = self._responder(sock, connection)
        with self.memory.holding(len(received)) as held:
            try:
                request = await self._receiving.receive(
                    sock,
                    connection,
                    held,
                    limits,
                    self._partial.admits,
                )
            except BadMessageError as error:
                held.release()
                await send_error(responder, error)
                await _drain_before_close(sock)
                return None
            responder.omits_body = request.is_head
            answer = (
                self._partial.refuse if request.is_partial else self._handler
            )
            await answer(
                attrs.evolve(
                    request, arrived_at=arrived_at, unread_seconds=unread
                ),
                responder,
            )
        return await self._next_received(sock, connection)

    async def _next_received(
        self, sock: curio.io.Socket, connection: h11.Connection
    ) -> bytes | None:
        """Return what was read of the next request, None if there is none."""
        if connection.their_state is h11.SEND_BODY:
            # The rest of the request was not read.
            await _drain_before_close(sock)
            return None
        if self._closing or not _is_reusable(connection):
            return None
        surplus, _closed = connection.trailing_data
        return surplus

    def _responder(
        self,
        sock: curio.io.Socket,
        connection: h11.Connection,
    ) -> Responder:
        return Responder(
            sock,
            connection,
            self.limits.write_seconds,
            lambda: self._closing or connection.their_state is h11.SEND_BODY,
            self.unread,
        )

    async def _wait_for_request(self, sock: curio.io.Socket) -> bytes:
        """Return the first bytes of a request, or none if the wait is over."""
        self._idle[sock] = None
        started = since_boot()
        received = None
        try:
            while received is None:
                # The limit may have been raised meanwhile.
                remaining = self.limits.idle_seconds - since_boot() + started
                if remaining <= 0:
                    return b''
                received = await curio.ignore_after(
                    remaining, sock.recv, READ_BYTES
                )
            return received if sock in self._idle else b''
        finally:
            self._idle.pop(sock, None)


def _is_reusable(connection: h11.Connection) -> bool:
    return (
        connection.our_state is h11.DONE and connection.their_state is h11.DONE
    )


async def _drain_before_close(sock: curio.io.Socket) -> None:
    """Discard what a rejected client still sends, for a limited time.

    Closing a socket with unread data resets the connection, and the client
    might lose the error response before it has read it.
    """
    try:
        await sock.shutdown(socket.SHUT_WR)
        await curio.timeout_after(_LINGER_SECONDS, discard, sock, _LINGER_BYTES)
    except TaskTimeout:
        _LOG.debug('rejected client keeps sending; closing its connection')


async def discard(sock: curio.io.Socket, max_bytes: float = _NO_BOUND) -> None:
    """Read what is received until the client closes, or up to a size."""
    turn = ReadingTurn()
    discarded = 0
    while discarded < max_bytes:
        received = await sock.recv(READ_BYTES)
        if not received:
            return
        discarded += len(received)
        turn.count_step()
        await turn.end_if_over()
