"""The asking side of HTTP: one connection."""

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
)
from cranecart.http._limits import READ_BYTES
from cranecart.http._messages import (
    Address,
    HeaderLines,
    Request,
    ResponseHead,
    decode_headers,
    encode_headers,
)

_MAX_HEAD_BYTES = 32768
# A dark path is noticed after about two seconds, as nodes must follow again
# within three once it is back (the bound of being in touch).
_KEEPALIVE_SECONDS = 1
_KEEPALIVE_PROBES = 2
_TCP_USER_TIMEOUT_MS = 2000
CONNECT_TIMEOUT_SECONDS = 1.0
_MAX_BODY_BYTES = 67108864
# Far more than a target that stutters owes. Answers that come without end are
# read without ever waiting: they held a node for 19 s.
_MAX_DISCARDED_RESPONSES = 16
# Below it a request goes out in one write, which is not worth a task; most
# kernels buffer at least as much as this for a connection.
_SMALL_BODY_BYTES = 16384


class HttpConnection:
    """A connection to one address; it carries one request at a time."""

    def __init__(self, address: Address, sock: curio.io.Socket) -> None:
        """Wrap an open socket."""
        self.address = address
        # How many requests were sent on it before the present one.
        self.earlier_requests = 0
        self._sock = sock
        self._parser = _new_parser()
        self._pending_request: Request | None = None
        self._is_request_sent = False
        self._send_task: curio.Task | None = None
        # What came behind the piece that was returned last.
        self._pending_event: object = None
        # Kept here, as whoever waits for the rest may be interrupted.
        self._body = bytearray()
        self._discarded_count = 0

    @classmethod
    async def open(
        cls,
        address: Address,
        connect_timeout_seconds: float = CONNECT_TIMEOUT_SECONDS,
        *,
        tcp_keepalive: bool = False,
    ) -> Self:
        """Connect; raise ``ConnectFailedError`` when that does not succeed.

        With ``keeps_alive`` a path that has gone dark breaks the connection
        within some seconds, also while nothing is sent on it.
        """
        # curio's own helper looks names up in a thread; here are IP numbers.
        sock = curio.io.Socket(socket.socket())
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
        return cls(address, sock)

    @property
    def surplus_bytes(self) -> int:
        """Return how many bytes have come behind the answer at hand."""
        return len(self._parser.trailing_data[0])

    @property
    def has_surplus_data(self) -> bool:
        """Tell whether more came than the answers that were asked for."""
        is_response_read = self._parser.their_state is h11.DONE
        return self._discarded_count > 0 or (
            is_response_read and self.surplus_bytes > 0
        )

    @property
    def is_reusable(self) -> bool:
        """Tell whether both sides finished cleanly and may go on.

        A peer that sent more answers than it was asked for may owe others.
        """
        # A reader who left early has not taken the end that was read ahead.
        is_response_read = (
            _is_exchange_complete(self._parser) and self._pending_event is None
        )
        return (
            self._is_request_sent
            and is_response_read
            and not self.has_surplus_data
        )

    def has_no_pending_input(self) -> bool:
        """Tell whether nothing came, not even the end, while it was idle."""
        # A node holds thousands of descriptors, and select takes 1,024.
        poller = select.poll()
        poller.register(self._sock.fileno(), select.POLLIN)
        return not poller.poll(0)

    async def wait_closed(self) -> None:
        """Return once the idle peer closed, or spoke unasked."""
        try:
            await self._sock.recv(1)
        except OSError:
            return

    def reset(self) -> None:
        """Get ready for the next request on this connection."""
        self._send_task = None
        self._pending_request = None
        self._is_request_sent = False
        self._body.clear()
        self.earlier_requests += 1
        self._parser.start_next_cycle()

    async def send(self, request: Request) -> None:
        """Send a whole request."""
        await self._write(self._encode(request))

    async def start_sending(self, request: Request) -> None:
        """Send a request, a large one while the response is awaited.

        The peer may answer before it has read all of a large body; the
        connection cannot be used again then.
        """
        if len(request.body) <= _SMALL_BODY_BYTES:
            await self.send(request)
            return
        # Before anything is read: what is there already answers nothing.
        encoded = self._encode(request)
        self._send_task = await curio.spawn(
            self._write_in_background,
            encoded,
            daemon=True,
        )

    async def send_and_read_head(self, request: Request) -> ResponseHead:
        """Send a request and wait for the response's status and headers."""
        await self.start_sending(request)
        return await self.read_head()

    async def discard_response(self) -> None:
        """Read the answer at hand to its end: it is none to the request.

        An interrupted call may be repeated. The next head that is read is
        that of the answer behind it.
        """
        await self.read_body()
        if self._pending_request is None or not _is_exchange_complete(
            self._parser
        ):
            raise ConnectionBrokenError(f'{self.address} sent a wrong answer')
        self._discarded_count += 1
        if self._discarded_count > _MAX_DISCARDED_RESPONSES:
            raise ConnectionBrokenError(f'{self.address} answers without end')
        surplus, _closed = self._parser.trailing_data
        self._parser = _new_parser()
        self._encode(self._pending_request)
        if surplus:
            self._parser.receive_data(surplus)
        self._body.clear()

    async def read_head(self) -> ResponseHead:
        """Wait for the response's status and headers."""
        event = await self._next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await self._next_event()
        if isinstance(event, h11.Response):
            header_lines = decode_headers(event.headers)
            return ResponseHead(
                event.status_code, dict(header_lines), header_lines
            )
        raise ConnectionBrokenError(f'{self.address} sent no response')

    async def read_chunk(self) -> bytes:
        """Return what one read brought of the body; empty at its end."""
        event = await self._next_event()
        chunks = []
        while isinstance(event, h11.Data):
            chunks.append(bytes(event.data))
            event = self._parse()
        if chunks:
            self._pending_event = event
            return b''.join(chunks)
        if isinstance(event, h11.EndOfMessage):
            return b''
        raise ConnectionBrokenError(f'{self.address} closed mid-response')

    async def read_body(self) -> bytes:
        """Collect the body to its end.

        A call that was interrupted may be repeated: nothing is lost of what
        it had read.
        """
        while chunk := await self.read_chunk():
            self._body += chunk
            if len(self._body) > _MAX_BODY_BYTES:
                raise BadMessageError(f'{self.address} sent too large a body')
        return bytes(self._body)

    async def close(self) -> None:
        """Close the socket; safe to call twice."""
        if self._send_task is not None:
            await self._send_task.cancel()
            self._send_task = None
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
                f'{self.address} closed during the request',
            ) from error
        self._is_request_sent = True

    async def _write_in_background(self, encoded: bytes) -> None:
        try:
            await self._write(encoded)
        except ConnectionBrokenError:
            # The reading side finds the same, or an answer that came first.
            return

    async def _next_event(self) -> object:
        event = self._pending_event
        self._pending_event = None
        if event is None:
            event = self._parse()
        while event is h11.NEED_DATA:
            try:
                received = await self._sock.recv(READ_BYTES)
            except OSError as error:
                raise ConnectionBrokenError(
                    f'{self.address} broke the connection',
                ) from error
            self._parser.receive_data(received)
            event = self._parse()
        return event

    def _parse(self) -> object:
        try:
            return self._parser.next_event()
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
