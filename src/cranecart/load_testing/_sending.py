"""Send one call and check its response."""

import operator
import time
from typing import Any

import attrs
import curio
import msgspec
from curio.errors import TaskTimeout

from cranecart.exceptions import ConnectFailedError, HttpError
from cranecart.http import (
    Address,
    HttpConnection,
    Request,
    ResponseHead,
)
from cranecart.load_testing._calls import LoadCall, Outcome, OutcomeKind
from cranecart.standins import expected_text

_TIMEOUT_MARGIN_SECONDS = 5.0
_MILLISECONDS = 1000
_DATA = b'data: '
_DONE = b'data: [DONE]'
_ERROR_EVENT = b'event: error'


@attrs.define
class _PartialResponse:
    """The part of a response that was received so far."""

    head: ResponseHead | None = None
    body: bytearray = attrs.field(factory=bytearray)
    chunk_times: list[float] = attrs.field(factory=list)


async def send_call(address: Address, call: LoadCall) -> Outcome:
    """Send one call on its own connection and return its outcome."""
    started = time.monotonic()
    response = _PartialResponse()
    detail = ''
    seconds = call.deadline_ms / _MILLISECONDS + _TIMEOUT_MARGIN_SECONDS
    try:
        await curio.timeout_after(seconds, _send, address, call, response)
    except ConnectFailedError as error:
        return Outcome(
            call=call,
            kind=OutcomeKind.NOT_RUN,
            started=started,
            ended=time.monotonic(),
            code='no_connection',
            node=str(address),
            detail=str(error),
        )
    except (HttpError, TaskTimeout) as error:
        detail = repr(error)
    return _outcome(address, call, response, started, detail)


async def _send(
    address: Address,
    call: LoadCall,
    response: _PartialResponse,
) -> None:
    connection = await HttpConnection.open(address)
    try:
        await connection.send(_request(call))
        response.head = await connection.read_head()
        while chunk := await connection.read_chunk():
            response.body += chunk
            response.chunk_times.append(time.monotonic())
    finally:
        await connection.close()


def _request(call: LoadCall) -> Request:
    headers = {
        'authorization': f'Bearer {call.api_key}',
        'content-type': 'application/json',
        'x-deadline-ms': str(call.deadline_ms),
        'idempotency-key': call.key,
        'x-repeatable': 'yes' if call.repeatable else 'no',
    }
    if call.priority:
        headers['x-priority'] = call.priority
    if call.service:
        path = f'/v1/services/{call.service}{call.path}'
        body: dict[str, Any] = {'note': call.prompt}
    else:
        path = '/v1/chat/completions'
        body = {
            'model': call.model,
            'messages': [{'role': 'user', 'content': call.prompt}],
            'max_tokens': call.tokens,
            'stream': call.stream,
        }
    return Request('POST', path, headers, msgspec.json.encode(body))


def _outcome(
    address: Address,
    call: LoadCall,
    response: _PartialResponse,
    started: float,
    detail: str,
) -> Outcome:
    head = response.head or ResponseHead(0)
    verdict = _classify(call, response, detail)
    chunk_times = response.chunk_times
    return Outcome(
        call=call,
        kind=verdict.kind,
        started=started,
        ended=time.monotonic(),
        status=head.status,
        code=verdict.code,
        request_id=head.headers.get('x-request-id', ''),
        node=str(address),
        first_token_seconds=chunk_times[0] - started if chunk_times else None,
        token_gaps=tuple(map(operator.sub, chunk_times[1:], chunk_times)),
        retry_after=verdict.retry_after,
        cache=head.headers.get('x-cache', ''),
        detail=verdict.reason,
    )


@attrs.frozen
class _Verdict:
    kind: OutcomeKind
    code: str = ''
    retry_after: float | None = None
    reason: str = ''


def _classify(
    call: LoadCall, response: _PartialResponse, detail: str
) -> _Verdict:
    if response.head is None or detail:
        return _Verdict(
            OutcomeKind.DISCONNECTED, reason=detail or 'no response'
        )
    body = bytes(response.body)
    if not response.head.is_success:
        return _classify_error(_parse_error(body))
    if call.service:
        return _check_echo(call, body)
    if call.stream:
        return _check_stream(call, body)
    return _check_text(call, _message_text(body), body)


def _parse_error(body: bytes) -> dict[str, Any]:
    try:
        error = msgspec.json.decode(body)['error']
    except (msgspec.DecodeError, KeyError, TypeError):
        return {}
    return error if isinstance(error, dict) else {}


def _classify_error(error: dict[str, Any]) -> _Verdict:
    kinds = {
        'not run': OutcomeKind.NOT_RUN,
        'outcome unknown': OutcomeKind.UNKNOWN,
    }
    return _Verdict(
        kinds.get(error.get('execution', ''), OutcomeKind.REJECTED),
        error.get('code', ''),
        error.get('retry_after_seconds'),
        error.get('message', ''),
    )


def _check_echo(call: LoadCall, body: bytes) -> _Verdict:
    expected = msgspec.json.encode({'note': call.prompt}).decode()
    try:
        echo = msgspec.json.decode(body).get('echo')
    except (msgspec.DecodeError, AttributeError):
        echo = None
    if echo == expected:
        return _Verdict(OutcomeKind.ANSWERED)
    return _Verdict(OutcomeKind.WRONG_ANSWER, reason=repr(body))


def _check_stream(call: LoadCall, body: bytes) -> _Verdict:
    lines = body.split(b'\n')
    if _ERROR_EVENT in lines:
        failed = lines[lines.index(_ERROR_EVENT) + 1]
        return _classify_error(_parse_error(failed.removeprefix(_DATA)))
    if _DONE not in lines:
        return _Verdict(
            OutcomeKind.WRONG_ANSWER, reason='the stream ended without [DONE]'
        )
    text = ''.join(
        _chunk_text(line.removeprefix(_DATA))
        for line in lines
        if line.startswith(_DATA) and line != _DONE
    )
    return _check_text(call, text, body)


def _chunk_text(encoded: bytes) -> str:
    return str(
        msgspec.json.decode(encoded)['choices'][0]['delta']['content'],
    )


def _message_text(body: bytes) -> str:
    try:
        return str(
            msgspec.json.decode(body)['choices'][0]['message']['content'],
        )
    except (msgspec.DecodeError, LookupError, TypeError):
        return ''


def _check_text(call: LoadCall, text: str, body: bytes) -> _Verdict:
    model = call.model.partition('@')[0]
    if text == expected_text(model, call.prompt, call.tokens):
        return _Verdict(OutcomeKind.ANSWERED)
    return _Verdict(OutcomeKind.WRONG_ANSWER, reason=repr(body))
