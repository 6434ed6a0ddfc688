"""The form of calls on the platform: headers in and out."""

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
from cranecart.ports import AnswerFacts, CallFacts, Dispatch

_MILLISECONDS = 1000
_REQUEST_ID = 'request-id'
_MODEL = 'model'
_TOKENS = 'token-usage'
_DEADLINE = 'deadline-ms'
_RESUME = 'last-event-id'
_INSTANCE = 'expect-replica'
_ORGANISATION = 'tenant'
_RANK = 'request-priority'
_SIGNATURE = 'replica-signature'
_NOT_RUN = 'not-executed'
_AT_FAULT = 'at-server'
_WRONG_INSTANCE = 421
_LAST_RANK = 9
# No request has a milliard of tokens; longer numbers cannot be reckoned with.
_MOST_DIGITS = 9

# Headers that concern one connection only.
_HOP = frozenset(
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
# Headers that only the system sets, whatever a client sends.
_OWN = frozenset(
    (
        _DEADLINE,
        _INSTANCE,
        _ORGANISATION,
        _RANK,
        'expect-version',
        'authorization',
    ),
)


@attrs.frozen
class PlatformCallForm:
    """Reads and writes the headers that the platform's calls carry."""

    def read_request(self, request: Request) -> CallFacts:
        """Read a client's request; raise ``InvalidRequestError``."""
        headers = request.headers
        prompt, most = _tokens(headers.get(_TOKENS, ''))
        return CallFacts(
            headers.get(_REQUEST_ID, ''),
            headers.get('host', ''),
            _key(headers.get('authorization', '')),
            _seconds(headers.get(_DEADLINE)),
            headers.get(_MODEL, ''),
            prompt,
            most,
            headers.get(_RESUME, ''),
        )

    def request_for(self, request: Request, dispatch: Dispatch) -> Request:
        """Return the request as a target gets it."""
        dropped = set(_HOP | _OWN) | _named_by_connection(request.headers)
        if dispatch.resume_after:
            dropped.add(_RESUME)
        kept = [line for line in request.header_lines if line[0] not in dropped]
        return attrs.evolve(
            request,
            header_lines=(*kept, *_added(request, dispatch)),
        )

    def read_answer(self, head: ResponseHead) -> AnswerFacts:
        """Read the head of a target's answer."""
        headers = head.headers
        facts = AnswerFacts(
            headers.get(_REQUEST_ID, ''),
            _SIGNATURE in headers,
            _NOT_RUN in headers or head.status == _WRONG_INSTANCE,
            headers.get(_AT_FAULT, ''),
        )
        return with_load_headers(facts, head)

    def answer_lines(self, head: ResponseHead) -> HeaderLines:
        """Return the headers of a target's answer that a client gets."""
        dropped = _HOP | _named_by_connection(head.headers)
        return tuple(
            line for line in head.header_lines if line[0] not in dropped
        )

    def refusal(
        self,
        request_id: str,
        status: int,
        code: str,
        message: str,
        retry_after: float | None,
    ) -> Response:
        """Build an answer of the product's own."""
        headers = {_REQUEST_ID: request_id} if request_id else {}
        if retry_after is not None:
            headers['retry-after'] = f'{retry_after:.2f}'
        body = {'error': {'code': code, 'message': message}}
        return json_response(status, body, headers)


def _added(request: Request, dispatch: Dispatch) -> HeaderLines:
    milliseconds = max(1, int(dispatch.seconds_left * _MILLISECONDS))
    lines = [
        (_INSTANCE, dispatch.instance_id),
        (_DEADLINE, str(milliseconds)),
    ]
    if request.body or request.method not in {'GET', 'HEAD', 'DELETE'}:
        lines.append(('content-length', str(len(request.body))))
    if dispatch.organisation:
        lines.append((_ORGANISATION, _as_header(dispatch.organisation)))
    if dispatch.rank is not None:
        lines.append((_RANK, str(min(dispatch.rank, _LAST_RANK))))
    if dispatch.resume_after:
        lines.append((_RESUME, dispatch.resume_after))
    return tuple(lines)


def _as_header(text: str) -> str:
    # Headers hold bytes; what the operator writes in JSON may be any letters.
    return text.encode().decode('latin-1')


def _named_by_connection(headers: Mapping[str, str]) -> set[str]:
    names = headers.get('connection', '').split(',')
    return {name.strip().lower() for name in names}


def _key(authorization: str) -> str:
    scheme, _, key = authorization.partition(' ')
    return key.strip() if scheme.lower() == 'bearer' else ''


def _seconds(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        return max(0, float(text)) / _MILLISECONDS
    except ValueError:
        raise InvalidRequestError(
            f'the deadline {text!r} is not a number',
        ) from None


def _tokens(text: str) -> tuple[int, int]:
    prompt, _, most = text.partition(',')
    return _count(prompt), _count(most)


def _count(text: str) -> int:
    is_count = text.isdecimal() and len(text) <= _MOST_DIGITS
    return int(text) if is_count else 0
