"""Read a request from a client within the server's limits."""

import time

import attrs
import curio
import h11
from curio.errors import TaskTimeout

from cranecart.exceptions import (
    BadMessageError,
    ConnectionBrokenError,
    RequestCutError,
)
from cranecart.http._limits import READ_BYTES, ServerLimits
from cranecart.http._messages import Request, decode_headers
from cranecart.http._partial import AdmitHead
from cranecart.http._request_memory import FREE_BYTES, HeldRequest
from cranecart.http._request_target import split_absolute_form
from cranecart.http._turns import ReadingPace, ReadingTurn

_STATUS_TIMEOUT = 408
_STATUS_TOO_LARGE = 413
_STATUS_HEAD_TOO_LARGE = 431
# How soon a request that was cut is answered.
_CUT_POLL_SECONDS = 1.0
# The separators of a header field: a colon, a space and the line end.
_FIELD_BYTES = 4


async def receive_request(
    source: 'RequestSource',
    limits: ServerLimits,
    admits: AdmitHead,
) -> Request:
    """Read a request of which the first bytes have arrived.

    A request that is cut to make room for others, or a large one that ``admits``
    rejects, is returned without its body as ``is_partial``.
    Raise ``BadMessageError`` if it is malformed, too large or too slow, and
    ``ConnectionBrokenError`` if the client closes before its end.
    """
    try:
        return await curio.timeout_after(
            limits.receive_seconds,
            _receive_complete,
            source,
            limits,
            admits,
        )
    except TaskTimeout as error:
        raise BadMessageError(
            'the request was not received completely within '
            f'{limits.receive_seconds} s',
            _STATUS_TIMEOUT,
        ) from error
    except RequestCutError as error:
        raise ConnectionBrokenError(str(error)) from error
    except h11.RemoteProtocolError as error:
        raise BadMessageError(
            str(error),
            error.error_status_hint,
        ) from error


@attrs.define(eq=False)
class RequestSource:
    """A connection from which one request is read.

    What is kept of it is recorded as ``held``; ``pace`` is common to all.
    """

    sock: curio.io.Socket
    connection: h11.Connection
    held: HeldRequest = attrs.field(factory=HeldRequest)
    pace: ReadingPace = attrs.field(factory=ReadingPace)
    _turn: ReadingTurn = attrs.field(
        default=attrs.Factory(
            lambda source: ReadingTurn(source.pace), takes_self=True
        ),
        init=False,
    )

    async def next_event(self) -> object:
        """Return the next event; raise ``RequestCutError`` if it was cut."""
        event = await self._parse(None)
        while event is h11.NEED_DATA:
            event = await self._parse(await self._receive())
        return event

    async def _parse(self, received: bytes | None) -> object:
        await self._turn.end_if_over()
        started = time.perf_counter()
        if received is not None:
            self.connection.receive_data(received)
        event = self.connection.next_event()
        self._turn.count_step(time.perf_counter() - started)
        return event

    async def _receive(self) -> bytes:
        received = None
        while received is None:
            self.held.check()
            received = await curio.ignore_after(
                _CUT_POLL_SECONDS, self.sock.recv, READ_BYTES
            )
        self.held.grow(len(received))
        self.held.check()
        return received


async def _receive_complete(
    source: RequestSource, limits: ServerLimits, admits: AdmitHead
) -> Request:
    head = await source.next_event()
    if not isinstance(head, h11.Request):
        raise ConnectionBrokenError('client closed before sending a request')
    _check_head_size(head, limits.head_bytes)
    fields = dict(head.headers)
    declared_bytes = int(fields.get(b'content-length', b'0'))
    _check_size(declared_bytes, limits.body_bytes)
    may_be_large = declared_bytes > FREE_BYTES or b'transfer-encoding' in fields
    if may_be_large and not admits(_build_request(head)):
        return _build_request(head, is_partial=True)
    await _answer_expectation(source.sock, source.connection)
    try:
        body = await _receive_body(source, limits.body_bytes)
    except RequestCutError:
        return _build_request(head, is_partial=True)
    _check_not_pipelined(source.connection)
    return _build_request(head, body)


async def _receive_body(source: RequestSource, max_bytes: int) -> bytes:
    event = await source.next_event()
    while isinstance(event, h11.Data):
        _check_size(source.held.add(event.data), max_bytes)
        event = await source.next_event()
    if not isinstance(event, h11.EndOfMessage):
        raise ConnectionBrokenError(
            'client closed before the end of its request'
        )
    return source.held.complete()


def _check_size(size: int, max_bytes: int) -> None:
    if size > max_bytes:
        raise BadMessageError(
            f'the request body exceeds the limit of {max_bytes} bytes',
            _STATUS_TOO_LARGE,
        )


def _check_head_size(head: h11.Request, max_bytes: int) -> None:
    """Raise ``BadMessageError`` if a head that arrived at once is too large."""
    fields_bytes = sum(
        len(name) + len(text) + _FIELD_BYTES for name, text in head.headers
    )
    head_bytes = len(head.method) + len(head.target) + fields_bytes
    if head_bytes > max_bytes:
        raise BadMessageError(
            f'the head has more than {max_bytes} bytes', _STATUS_HEAD_TOO_LARGE
        )


async def _answer_expectation(
    sock: curio.io.Socket,
    connection: h11.Connection,
) -> None:
    if connection.they_are_waiting_for_100_continue:
        interim = h11.InformationalResponse(status_code=100, headers=[])
        await sock.sendall(connection.send(interim))


def _check_not_pipelined(connection: h11.Connection) -> None:
    surplus, _closed = connection.trailing_data
    if surplus:
        raise BadMessageError('pipelined requests are not supported')


def _build_request(
    head: h11.Request, body: bytes = b'', *, is_partial: bool = False
) -> Request:
    header_lines = decode_headers(head.headers)
    authority, target = split_absolute_form(head.target.decode('ascii'))
    if authority:
        # It replaces the host, also for those to whom the request is sent on.
        others = (line for line in header_lines if line[0] != 'host')
        header_lines = (('host', authority), *others)
    return Request(
        head.method.decode('ascii'),
        target,
        dict(header_lines),
        body,
        header_lines,
        is_partial=is_partial,
    )
