"""The client side of an HTTP/1.1 connection."""

import select
import socket
from typing import Self

import curio
import h11
from curio.errors import TaskTimeout

from cranecart.exceptions import (
    BadMessageError,
    ConnectFailedError,
    ConnectionBrokenError,
    ConnectRefusedError,
    MessageTooLargeError,
)
from cranecart.http._background_write import BackgroundWrite
from cranecart.http._limits import READ_BYTES
from cranecart.http._messages import (
    Address,
    HeaderLines,
    Request,
    ResponseHead,
    decode_headers,
    encode_headers,
)
from cranecart.http._resets import reset_on_close
from cranecart.http._response_heads import next_event
from cranecart.http._response_memory import (
    HeldResponse,
    ResponseLimits,
    ResponseMemory,
)
from cranecart.http._turns import ReadingTurn

_MAX_HEAD_BYTES = 32768
# A broken network path is detected after about two seconds, as nodes must be up
# to date again within three seconds of its recovery.
_KEEPALIVE_SECONDS = 1
_KEEPALIVE_PROBES = 2
_TCP_USER_TIMEOUT_MS = 2000
CONNECT_TIMEOUT_SECONDS = 1.0
# Connections to targets have a lower bound, from the settings.
_MAX_BODY_BYTES = 67108864
_LIMITS = ResponseLimits(
    body_bytes=_MAX_BODY_BYTES, total_bytes=_MAX_BODY_BYTES
)
# Far more surplus responses than a faulty target leaves on a connection.
_MAX_DISCARDED_RESPONSES = 16
# Far more than targets send before a final response; without a bound a call
# would wait for it until its deadline.
_MAX_INTERIM_RESPONSES = 100
# Up to this size a request is sent in one write without a task of its own; most
# kernels buffer at least this much for a connection.
_SMALL_BODY_BYTES = 16384


class HttpConnection:
    """A connection to one address; it carries one request at a time."""

    def __init__(
        self,
        address: Address,
        sock: curio.io.Socket,
        memory: ResponseMemory | None = None,
    ) -> None:
        """Wrap an open socket."""
        self.address = address
        # Number of requests sent on it before the current one.
        self.earlier_requests = 0
        self._sock = sock
        self._parser = _new_parser()
        self._pending_request: Request | None = None
        self._is_request_sent = False
        self._background = BackgroundWrite()
        # The parser's event after the chunk that was returned last.
        self._pending_event: object = None
        # Kept between calls, as the reader may be interrupted and call again.
        self._body = bytearray()
        # What is kept of the current response.
        self.held = HeldResponse(
            memory or ResponseMemory(_LIMITS), str(address), self._body.clear
        )
        self._discarded_count = 0
        # Those before the current response.
        self._interim_count = 0
        self._turn = ReadingTurn()

    @classmethod
    async def open(
        cls,
        address: Address,
        connect_timeout_seconds: float = CONNECT_TIMEOUT_SECONDS,
        *,
        tcp_keepalive: bool = False,
        receive_bytes: int | None = None,
        memory: ResponseMemory | None = None,
    ) -> Self:
        """Connect; raise ``ConnectFailedError`` if that fails.

        With ``tcp_keepalive`` a broken network path closes the connection
        within some seconds, even if nothing is sent on it. ``receive_bytes``
        bounds what the kernel receives before it is read, ``memory`` what is
        kept of the responses.
        """
        # curio.open_connection resolves names in a thread, which IP addresses
        # do not need.
        sock = curio.io.Socket(socket.socket())
        if receive_bytes is not None:
            # Before connecting, as it also determines the window's scale.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        try:
            await curio.timeout_after(
                connect_timeout_seconds,
                sock.connect,
                (address.host, address.port),
            )
        except (OSError, TaskTimeout) as error:
            await sock.close()
            is_refused = isinstance(error, ConnectionRefusedError)
            error_class = (
                ConnectRefusedError if is_refused else ConnectFailedError
            )
            raise error_class(
                f'{address} cannot be reached: {error!r}'
            ) from error
        except BaseException:
            await sock.close()
            raise
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if tcp_keepalive:
            _enable_tcp_keepalive(sock)
        return cls(address, sock, memory)

    @property
    def surplus_bytes(self) -> int:
        """Return the number of bytes received after the current response."""
        return len(self._parser.trailing_data[0])

    @property
    def has_surplus_data(self) -> bool:
        """Return whether more was received than the requested responses."""
        is_response_read = self._parser.their_state is h11.DONE
        return self._discarded_count > 0 or (
            is_response_read and self.surplus_bytes > 0
        )

    @property
    def is_reusable(self) -> bool:
        """Return whether the exchange is complete and another may follow.

        A peer that sent surplus responses may send more of them later.
        """
        return (
            self._is_request_sent
            and _is_response_read(self._parser, self._pending_event)
            and not self.has_surplus_data
        )

    def has_no_pending_input(self) -> bool:
        """Return whether there is nothing to read, not even an end of file."""
        # A node may have thousands of file descriptors open, and select
        # supports only the first 1,024.
        poller = select.poll()
        poller.register(self._sock.fileno(), select.POLLIN)
        return not poller.poll(0)

    async def wait_closed(self) -> None:
        """Return once the idle peer closes or sends unrequested data."""
        try:
            await self._sock.recv(1)
        except OSError:
            return

    def reset(self) -> None:
        """Prepare the connection for the next request."""
        self._background = BackgroundWrite()
        self._pending_request = None
        self._is_request_sent = False
        self._body.clear()
        self.held.release()
        self._interim_count = 0
        self.earlier_requests += 1
        self._parser.start_next_cycle()

    async def send(self, request: Request) -> None:
        """Send a complete request."""
        await self._write(self._encode(request))

    async def start_sending(self, request: Request) -> None:
        """Send a request, in the background if its body is large.

        The peer may respond before it has read all of a large body; the
        connection cannot be reused then.
        """
        if len(request.body) <= _SMALL_BODY_BYTES:
            await self.send(request)
            return
        # Encoded before anything is read: data that has arrived earlier is no
        # response to this request.
        encoded = self._encode(request)
        await self._background.start(self._write, encoded)

    async def send_and_read_head(self, request: Request) -> ResponseHead:
        """Send a request and read the response's status and headers."""
        await self.start_sending(request)
        return await self.read_head()

    async def discard_response(self) -> None:
        """Skip the current response, which belongs to another request.

        ``read_head`` then returns the head of the response after it. This may
        be called again after an interruption.
        """
        await self.read_body()
        if self._pending_request is None or not _is_exchange_complete(
            self._parser
        ):
            raise ConnectionBrokenError(
                f'{self.address} sent the response of another request'
            )
        self._discarded_count += 1
        if self._discarded_count > _MAX_DISCARDED_RESPONSES:
            raise ConnectionBrokenError(
                f'{self.address} sent more than {_MAX_DISCARDED_RESPONSES} '
                'surplus responses'
            )
        surplus, _closed = self._parser.trailing_data
        self._parser = _new_parser()
        self._encode(self._pending_request)
        if surplus:
            self._parser.receive_data(surplus)
        self._body.clear()
        self.held.release()

    async def read_head(self) -> ResponseHead:
        """Read the response's status and headers.

        Raise ``MessageTooLargeError`` if too many interim responses come first.
        """
        event = await self._next_event()
        while isinstance(event, h11.InformationalResponse):
            self._interim_count += 1
            if self._interim_count > _MAX_INTERIM_RESPONSES:
                raise MessageTooLargeError(
                    f'{self.address} sent more than {_MAX_INTERIM_RESPONSES} '
                    'interim responses'
                )
            event = await self._next_event()
        if isinstance(event, h11.Response):
            header_lines = decode_headers(event.headers)
            return ResponseHead(
                event.status_code, dict(header_lines), header_lines
            )
        raise ConnectionBrokenError(f'{self.address} sent no response')

    async def read_chunk(self) -> bytes:
        """Return the next received part of the body, empty at its end.

        Raise ``ReceiveMemoryError`` if the response was cut off meanwhile.
        """
        self.held.check()
        event = await self._next_event()
        chunks = []
        while isinstance(event, h11.Data):
            chunks.append(bytes(event.data))
            event = None if self._turn.is_over else self._parse()
        if chunks:
            self._pending_event = event
            return b''.join(chunks)
        if isinstance(event, h11.EndOfMessage):
            return b''
        raise ConnectionBrokenError(
            f'{self.address} closed before the end of its response'
        )

    async def read_body(self) -> bytes:
        """Return the complete body.

        Raise ``MessageTooLargeError`` if it is too large, and
        ``ReceiveMemoryError`` if there is no room for it.
        This may be called again after an interruption; it keeps what it has
        read so far.
        """
        while chunk := await self.read_chunk():
            self._body += chunk
            self.held.keep_body(len(self._body))
        body = bytes(self._body)
        self._body.clear()
        return body

    async def close(self) -> None:
        """Close the socket; safe to call twice.

        A request that has not been answered is given up: what the peer has not
        received of it is dropped, which would arrive otherwise once a cut of
        the network path has ended.
        """
        is_given_up = self._pending_request is not None and (
            not _is_response_read(self._parser, self._pending_event)
        )
        if is_given_up:
            reset_on_close(self._sock)
        self._body.clear()
        self.held.release()
        await self._background.cancel()
        await self._sock.close()

    def _encode(self, request: Request) -> bytes:
        self._pending_request = request
        header_lines = request.header_lines or _default_headers(
            self.address, request
        )
        try:
            head = h11.Request(
                method=request.method,
                target=request.target,
                headers=encode_headers(header_lines),
            )
            events = (head, h11.Data(data=request.body), h11.EndOfMessage())
            return b''.join(filter(None, map(self._parser.send, events)))
        except h11.LocalProtocolError as error:
            raise BadMessageError(f'not valid HTTP: {error}') from error

    async def _write(self, encoded: bytes) -> None:
        try:
            await self._sock.sendall(encoded)
        except OSError as error:
            raise ConnectionBrokenError(
                f'{self.address} closed while the request was being sent',
            ) from error
        self._is_request_sent = True

    async def _next_event(self) -> object:
        await self._turn.end_if_over()
        event = self._pending_event
        self._pending_event = None
        if event is None:
            event = self._parse()
        while event is h11.NEED_DATA:
            await self._turn.end_if_over()
            try:
                received = await self._sock.recv(READ_BYTES)
            except OSError as error:
                raise ConnectionBrokenError(
                    f'{self.address} broke the connection',
                ) from error
            if not received:
                await self._background.check()
            self._parser.receive_data(received)
            event = self._parse()
        return event

    def _parse(self) -> object:
        self._turn.count_step()
        try:
            return next_event(self._parser)
        except h11.RemoteProtocolError as error:
            raise ConnectionBrokenError(
                f'{self.address} did not finish its response: {error}',
            ) from error


def _default_headers(address: Address, request: Request) -> HeaderLines:
    headers = {
        'host': str(address),
        'content-length': str(len(request.body)),
        **request.headers,
    }
    return tuple(headers.items())


def _is_exchange_complete(parser: h11.Connection) -> bool:
    return parser.our_state is h11.DONE and parser.their_state is h11.DONE


def _is_response_read(parser: h11.Connection, pending_event: object) -> bool:
    """Return whether the current request was answered completely.

    A reader that stopped early has left the end of the body, parsed already, in
    the pending event.
    """
    return _is_exchange_complete(parser) and pending_event is None


def _enable_tcp_keepalive(sock: curio.io.Socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, setting in (
        (socket.TCP_KEEPIDLE, _KEEPALIVE_SECONDS),
        (socket.TCP_KEEPINTVL, _KEEPALIVE_SECONDS),
        (socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, setting)


def _new_parser() -> h11.Connection:
    return h11.Connection(
        h11.CLIENT,
        max_incomplete_event_size=_MAX_HEAD_BYTES,
    )
