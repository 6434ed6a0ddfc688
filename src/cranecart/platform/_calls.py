"""Translate the platform's HTTP headers of requests and answers."""

from collections.abc import Mapping

import attrs

from cranecart.exceptions import InvalidRequestError
from cranecart.http import (
    HeaderLines,
    Request,
    Response,
    ResponseHead,
    json_response,
)
from cranecart.platform._load_headers import with_load_headers
from cranecart.ports import Dispatch, RequestInfo, ResponseInfo

_MILLISECONDS = 1000
_REQUEST_ID = 'request-id'
_MODEL = 'model'
_TOKEN_USAGE = 'token-usage'
_PROMPT_PARTS = 'prefix-hash'
_DEADLINE = 'deadline-ms'
_LAST_EVENT_ID = 'last-event-id'
_EXPECTED_INSTANCE = 'expect-replica'
_ORGANISATION = 'tenant'
_PRIORITY = 'request-priority'
_SIGNATURE = 'replica-signature'
_NOT_RUN = 'not-executed'
_AT_FAULT = 'at-server'
_MISDIRECTED = 421
_MAX_RANK = 9
# No request has a billion tokens. Python refuses to parse very long numbers.
_MAX_DIGITS = 9

# Headers that apply to a single connection and are not forwarded.
_HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
    ),
)
# Headers that only the system sets; a client's values are dropped.
_RESERVED_HEADERS = frozenset(
    (
        _DEADLINE,
        _EXPECTED_INSTANCE,
        _ORGANISATION,
        _PRIORITY,
        'expect-version',
        'authorization',
    ),
)
# The white space that may surround a header value.
_BLANKS = ' \t'


@attrs.frozen
class PlatformCallTranslator:
    """Reads and writes the headers of calls on the platform."""

    def read_request(self, request: Request) -> RequestInfo:
        """Read a client's request; raise ``InvalidRequestError``."""
        headers = request.headers
        prompt_tokens, max_tokens = _token_usage(headers.get(_TOKEN_USAGE, ''))
        return RequestInfo(
            headers.get(_REQUEST_ID, ''),
            headers.get('host', ''),
            _bearer_key(headers.get('authorization', '')),
            _deadline_seconds(headers.get(_DEADLINE)),
            headers.get(_MODEL, ''),
            prompt_tokens,
            max_tokens,
            headers.get(_LAST_EVENT_ID, ''),
            _shared_segments(headers.get(_PROMPT_PARTS, '')),
        )

    def request_for(self, request: Request, dispatch: Dispatch) -> Request:
        """Return the request as a target gets it."""
        dropped = set(
            _HOP_BY_HOP_HEADERS | _RESERVED_HEADERS
        ) | _named_by_connection(request.headers)
        if dispatch.resume_after:
            dropped.add(_LAST_EVENT_ID)
        kept = [line for line in request.header_lines if line[0] not in dropped]
        return attrs.evolve(
            request,
            header_lines=(*kept, *_dispatch_lines(request, dispatch)),
        )

    def read_response(self, head: ResponseHead) -> ResponseInfo:
        """Read the head of a target's answer."""
        headers = head.headers
        facts = ResponseInfo(
            headers.get(_REQUEST_ID, ''),
            _SIGNATURE in headers,
            _NOT_RUN in headers or head.status == _MISDIRECTED,
            headers.get(_AT_FAULT, ''),
        )
        return with_load_headers(facts, head)

    def response_headers(self, head: ResponseHead) -> HeaderLines:
        """Return the headers of a target's answer to forward to the client."""
        dropped = _HOP_BY_HOP_HEADERS | _named_by_connection(head.headers)
        return tuple(
            line for line in head.header_lines if line[0] not in dropped
        )

    def error_response(
        self,
        request_id: str,
        status: int,
        code: str,
        message: str,
        retry_after: float | None,
    ) -> Response:
        """Build an error answer that does not come from a target."""
        headers = {_REQUEST_ID: request_id} if request_id else {}
        if retry_after is not None:
            headers['retry-after'] = f'{retry_after:.2f}'
        body = {'error': {'code': code, 'message': message}}
        return json_response(status, body, headers)


def _dispatch_lines(request: Request, dispatch: Dispatch) -> HeaderLines:
    milliseconds = max(1, int(dispatch.seconds_left * _MILLISECONDS))
    lines = [
        (_EXPECTED_INSTANCE, dispatch.instance_id),
        (_DEADLINE, str(milliseconds)),
    ]
    if request.body or request.method not in {'GET', 'HEAD', 'DELETE'}:
        lines.append(('content-length', str(len(request.body))))
    if dispatch.organisation:
        lines.append(
            (_ORGANISATION, _encode_header_text(dispatch.organisation))
        )
    if dispatch.rank is not None:
        lines.append((_PRIORITY, str(min(dispatch.rank, _MAX_RANK))))
    if dispatch.resume_after:
        lines.append((_LAST_EVENT_ID, dispatch.resume_after))
    return tuple(lines)


def _encode_header_text(text: str) -> str:
    # Header values are Latin-1 here, while names in the operator's JSON may
    # contain any character: send their UTF-8 bytes.
    return text.encode().decode('latin-1')


def _named_by_connection(headers: Mapping[str, str]) -> set[str]:
    names = headers.get('connection', '').split(',')
    return {name.strip().lower() for name in names}


def _bearer_key(authorization: str) -> str:
    scheme, _, key = authorization.partition(' ')
    # Other white space may be part of a character's bytes.
    return key.strip(_BLANKS) if scheme.lower() == 'bearer' else ''


def _deadline_seconds(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        return max(0, float(text)) / _MILLISECONDS
    except ValueError:
        raise InvalidRequestError(
            f'invalid deadline-ms header {text!r}: expected a number',
        ) from None


def _shared_segments(text: str) -> tuple[str, ...]:
    """Return the ids of a prompt's parts but the last, each ``ID:TOKENS``.

    The last one is left out, as other requests do not have it.
    """
    *shared, _own = text.split(',')
    ids = (part.partition(':')[0].strip().lower() for part in shared)
    return tuple(filter(None, ids))


def _token_usage(text: str) -> tuple[int, int]:
    prompt_tokens, _, max_tokens = text.partition(',')
    return _parse_count(prompt_tokens), _parse_count(max_tokens)


def _parse_count(text: str) -> int:
    is_count = text.isdecimal() and len(text) <= _MAX_DIGITS
    return int(text) if is_count else 0
