"""Write the response to a request, at once or in chunks."""

from collections.abc import Callable

import curio
import h11
from curio.errors import TaskTimeout

from cranecart.clocks import since_boot
from cranecart.exceptions import BadMessageError, ConnectionBrokenError
from cranecart.http._limits import READ_BYTES
from cranecart.http._messages import (
    HeaderLines,
    Headers,
    Response,
    encode_headers,
    json_response,
)
from cranecart.http._unread import UnreadResponses

# What is kept of data that a client sends while its request is handled.
_MAX_KEPT_BYTES = READ_BYTES


class Responder:
    """Writes the response to one request, at once or in chunks.

    While ``is_closing`` returns true, responses carry "Connection: close".
    ``unread_seconds`` is set if the response was cut off because the client had
    not read it for this long. ``extra_headers`` are added to its head. The body
    is left out if ``omits_body``, as in responses to HEAD.
    """

    def __init__(
        self,
        sock: curio.io.Socket,
        connection: h11.Connection,
        write_seconds: float,
        is_closing: Callable[[], bool],
        unread: UnreadResponses,
    ) -> None:
        """Wrap the connection of the request."""
        self._sock = sock
        self._connection = connection
        self._write_seconds = write_seconds
        self._is_closing = is_closing
        self._unread = unread
        self.unread_seconds: float | None = None
        self.extra_headers: HeaderLines = ()
        self.omits_body = False
        self._first_byte_at: float | None = None

    @property
    def has_started(self) -> bool:
        """Return whether the head of the response was sent."""
        return self._connection.our_state not in {h11.IDLE, h11.SEND_RESPONSE}

    def seconds_to_first_byte(self, since: float) -> float | None:
        """Return the time until the first byte was sent, if one was."""
        if self._first_byte_at is None:
            return None
        return self._first_byte_at - since

    async def send(self, response: Response) -> None:
        """Send a complete response."""
        length = str(len(response.body))
        if self.omits_body:
            length = response.declared_length or length
        head = self._head(
            response.status,
            response.header_lines or response.headers,
            ('content-length', length),
        )
        body = () if self.omits_body else (h11.Data(data=response.body),)
        await self._write(head, *body, h11.EndOfMessage())

    async def start(self, status: int, headers: Headers | HeaderLines) -> None:
        """Send the head of a response whose body follows in chunks."""
        await self._write(self._head(status, headers))

    async def write(
        self, chunk: bytes, seconds_left: float | None = None
    ) -> None:
        """Send a chunk of the body, without a timeout of its own.

        If the memory for unread responses is bounded, the response is cut off
        if it is unread when ``seconds_left`` have passed.
        """
        if self.omits_body:
            return
        encoded = self._connection.send(h11.Data(data=chunk))
        try:
            await self._transmit(encoded, seconds_left)
        except OSError as error:
            raise ConnectionBrokenError('the client disconnected') from error

    async def end(self) -> None:
        """Send the end of the body."""
        await self._write(h11.EndOfMessage())

    async def wait_for_disconnect(self) -> None:
        """Return once the client closes its side of the connection.

        Data that it sends before that is kept for the next request. Of much of
        it no more is read, and the client is found to have left only when its
        response is written.
        """
        kept_bytes = 0
        try:
            while received := await self._sock.recv(READ_BYTES):
                self._connection.receive_data(received)
                kept_bytes += len(received)
                if kept_bytes > _MAX_KEPT_BYTES:
                    await curio.Event().wait()
        except OSError:
            return

    async def _transmit(
        self, encoded: bytes, seconds_left: float | None = None
    ) -> None:
        await self._unread.send_all(
            self._sock, encoded, self._note_cut, seconds_left
        )

    def _note_cut(self, unread_seconds: float) -> None:
        self.unread_seconds = unread_seconds

    def _head(
        self,
        status: int,
        headers: Headers | HeaderLines,
        *extra_headers: tuple[str, str],
    ) -> h11.Response:
        connection_headers = (
            [('connection', 'close')] if self._is_closing() else []
        )
        return h11.Response(
            status_code=status,
            headers=[
                *encode_headers(headers),
                *encode_headers(
                    (*extra_headers, *self.extra_headers, *connection_headers)
                ),
            ],
        )

    async def _write(self, *events: h11.Event) -> None:
        if self._first_byte_at is None:
            self._first_byte_at = since_boot()
        encoded_events = [self._connection.send(event) for event in events]
        try:
            await curio.timeout_after(
                self._write_seconds,
                self._transmit,
                b''.join(filter(None, encoded_events)),
            )
        except (OSError, TaskTimeout) as error:
            raise ConnectionBrokenError(
                'the client disconnected or read too slowly'
            ) from error


async def send_error(responder: Responder, error: BadMessageError) -> None:
    """Send the error response for an unacceptable request."""
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
