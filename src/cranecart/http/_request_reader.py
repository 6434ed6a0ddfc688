"""Read a request from a client within the server's limits."""

import curio
import h11
from curio.errors import TaskTimeout

from cranecart.exceptions import BadMessageError, ConnectionBrokenError
from cranecart.http._limits import READ_BYTES, ServerLimits
from cranecart.http._messages import Request, decode_headers
from cranecart.http._request_target import split_absolute_form
from cranecart.http._turns import ReadingTurn

_STATUS_TIMEOUT = 408
_STATUS_TOO_LARGE = 413
_STATUS_HEAD_TOO_LARGE = 431
# The separators of a header field: a colon, a space and the line end.
_FIELD_BYTES = 4


async def receive_request(
    sock: curio.io.Socket,
    connection: h11.Connection,
    limits: ServerLimits,
) -> Request:
    """Read a request of which the first bytes have arrived.

    Raise ``BadMessageError`` if it is malformed, too large or too slow, and
    ``ConnectionBrokenError`` if the client closes before its end.
    """
    try:
        return await curio.timeout_after(
            limits.receive_seconds,
            _receive_complete,
            sock,
            connection,
            limits,
        )
    except TaskTimeout as error:
        raise BadMessageError(
            'the request was not received completely within '
            f'{limits.receive_seconds} s',
            _STATUS_TIMEOUT,
        ) from error
    except h11.RemoteProtocolError as error:
        raise BadMessageError(
            str(error),
            error.error_status_hint,
        ) from error


async def _receive_complete(
    sock: curio.io.Socket,
    connection: h11.Connection,
    limits: ServerLimits,
) -> Request:
    max_bytes = limits.body_bytes
    turn = ReadingTurn()
    head = await _next_event(sock, connection, turn)
    if not isinstance(head, h11.Request):
        raise ConnectionBrokenError('client closed before sending a request')
    _check_head_size(head, limits.head_bytes)
    _check_declared_size(head, max_bytes)
    await _answer_expectation(sock, connection)
    body = bytearray()
    event = await _next_event(sock, connection, turn)
    while isinstance(event, h11.Data):
        body += event.data
        _check_size(len(body), max_bytes)
        event = await _next_event(sock, connection, turn)
    if not isinstance(event, h11.EndOfMessage):
        raise ConnectionBrokenError(
            'client closed before the end of its request'
        )
    _check_not_pipelined(connection)
    return _build_request(head, bytes(body))


def _check_declared_size(head: h11.Request, max_bytes: int) -> None:
    declared = dict(head.headers).get(b'content-length', b'0')
    _check_size(int(declared), max_bytes)


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


async def _next_event(
    sock: curio.io.Socket,
    connection: h11.Connection,
    turn: ReadingTurn,
) -> object:
    await turn.end_if_over()
    turn.count_step()
    event = connection.next_event()
    while event is h11.NEED_DATA:
        await turn.end_if_over()
        connection.receive_data(await sock.recv(READ_BYTES))
        turn.count_step()
        event = connection.next_event()
    return event


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


def _build_request(head: h11.Request, body: bytes) -> Request:
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
    )
