"""Parse and validate client requests."""

import hashlib
import hmac
import uuid
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

import msgspec

from cranecart.declarations import Declarations, OrganisationSpec, Priority
from cranecart.exceptions import (
    InvalidRequestError,
    NotFoundError,
    UnauthorizedError,
)
from cranecart.http import Request
from cranecart.targets import Call, CompletionCall, ServiceCall

COMPLETIONS_PATH = '/v1/chat/completions'
SERVICES_PREFIX = '/v1/services/'
MAX_DEADLINE_MS = 600000
_DEFAULT_DEADLINE_MS = 60000
_MILLISECONDS = 1000
_MAX_DEADLINE_DIGITS = 20
_MAX_SHOWN_CHARS = 40
_PROMPT_PREFIX_CHARS = 48
_MAX_IDEMPOTENCY_KEY_CHARS = 255
_MAX_TOKENS_LIMIT = 32768
_DEFAULT_MAX_TOKENS = 16
# The white space that may surround a header value.
_BLANKS = ' \t'
_YES_NO = MappingProxyType({'yes': True, 'no': False})


def authenticate(
    request: Request,
    declarations: Declarations,
) -> OrganisationSpec:
    """Return the organisation of the request's API key.

    Raise ``UnauthorizedError`` if there is none.
    """
    scheme, _, key = request.headers.get('authorization', '').partition(' ')
    if scheme.lower() != 'bearer' or not key:
        raise UnauthorizedError(
            'missing API key: send it as "Authorization: Bearer <key>"',
        )
    # Header values are decoded as Latin-1, which keeps each byte. White space
    # other than blanks may be part of a character's bytes.
    sent = key.strip(_BLANKS).encode('latin-1')
    digest = hashlib.sha256(sent).hexdigest()
    match = None
    # All hashes are compared, each in constant time, so that the response time
    # reveals nothing about the known keys.
    for organisation in declarations.organisations:
        for known in organisation.key_sha256:
            if hmac.compare_digest(known, digest):
                match = organisation
    if match is None:
        raise UnauthorizedError('unknown API key')
    return match


def parse_call(
    request: Request,
    organisation: OrganisationSpec,
    declarations: Declarations,
) -> Call:
    """Validate a request and return the call; raise ``RequestError``."""
    path = request.path
    if path == COMPLETIONS_PATH:
        return _parse_completion(request, organisation)
    if path.startswith(SERVICES_PREFIX):
        return _parse_service_call(request, organisation, declarations)
    raise NotFoundError(f'unknown path {path}')


def _common_fields(
    request: Request,
    organisation: OrganisationSpec,
) -> dict[str, Any]:
    headers = request.headers
    key = headers.get('idempotency-key', '')
    if len(key) > _MAX_IDEMPOTENCY_KEY_CHARS:
        raise InvalidRequestError('Idempotency-Key is over 255 characters')
    return {
        'request_id': uuid.uuid4().hex,
        'organisation': organisation.name,
        'body': request.body,
        'deadline': request.arrived_at + _deadline_seconds(headers),
        'priority': _priority(headers, organisation),
        'repeatable': _choice(headers, 'x-repeatable', _YES_NO, default=True),
        'idempotency_key': key,
    }


def _choice(
    headers: Mapping[str, str],
    name: str,
    choices: Mapping[str, bool],
    *,
    default: bool,
) -> bool:
    text = headers.get(name)
    if text is None:
        return default
    if text not in choices:
        known = ' or '.join(choices)
        raise InvalidRequestError(f'{name} must be {known}, not {text!r}')
    return choices[text]


def _deadline_seconds(headers: Mapping[str, str]) -> float:
    text = headers.get('x-deadline-ms', str(_DEFAULT_DEADLINE_MS))
    # Python converts no text of thousands of digits.
    is_number = text.isdecimal() and len(text) <= _MAX_DEADLINE_DIGITS
    if not is_number or not 0 < int(text) <= MAX_DEADLINE_MS:
        raise InvalidRequestError(
            f'x-deadline-ms must be from 1 to {MAX_DEADLINE_MS}, not '
            f'{text[:_MAX_SHOWN_CHARS]!r}',
        )
    return int(text) / _MILLISECONDS


def _priority(
    headers: Mapping[str, str],
    organisation: OrganisationSpec,
) -> Priority:
    text = headers.get('x-priority')
    if text is None:
        return organisation.priority
    try:
        requested = Priority(text)
    except ValueError:
        raise InvalidRequestError(
            f'x-priority must be high, normal or low, not {text!r}',
        ) from None
    # A request cannot exceed its organisation's priority.
    return max(
        requested, organisation.priority, key=lambda priority: priority.rank
    )


def _parse_completion(
    request: Request,
    organisation: OrganisationSpec,
) -> CompletionCall:
    if request.method != 'POST':
        raise InvalidRequestError('completions must be requested with POST')
    body = _decode_json_object(request.body)
    model, _, version = _string_field(body, 'model').partition('@')
    if model not in organisation.models:
        raise NotFoundError(f'{organisation.name} has no model {model!r}')
    return CompletionCall(
        **_common_fields(request, organisation),
        model=model,
        version=version,
        adapter=_string_field(body, 'adapter', default=''),
        stream=_boolean_field(body, 'stream'),
        prefix=_prompt_prefix(body),
        max_tokens=_max_tokens(body),
    )


def _decode_json_object(body: bytes) -> dict[str, Any]:
    try:
        decoded = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidRequestError(
            f'the body is not valid JSON: {error}'
        ) from error
    if not isinstance(decoded, dict):
        raise InvalidRequestError('the body must be a JSON object')
    return decoded


def _string_field(
    body: Mapping[str, object],
    name: str,
    default: str | None = None,
) -> str:
    field = body.get(name, default)
    if not isinstance(field, str):
        raise InvalidRequestError(f'{name} must be given as a string')
    return field


def _boolean_field(body: Mapping[str, object], name: str) -> bool:
    field = body.get(name, False)
    if not isinstance(field, bool):
        raise InvalidRequestError(f'{name} must be true or false')
    return field


def _max_tokens(body: Mapping[str, object]) -> int:
    field = body.get('max_tokens', _DEFAULT_MAX_TOKENS)
    if isinstance(field, bool) or not isinstance(field, int):
        raise InvalidRequestError('max_tokens must be an integer')
    if not 0 < field <= _MAX_TOKENS_LIMIT:
        raise InvalidRequestError(
            f'max_tokens must be from 1 to {_MAX_TOKENS_LIMIT}, not {field}',
        )
    return field


def _prompt_prefix(body: Mapping[str, object]) -> str:
    messages = body.get('messages')
    if not isinstance(messages, list) or not messages:
        raise InvalidRequestError('messages must be a non-empty list')
    for message in messages:
        if not isinstance(message, dict):
            raise InvalidRequestError('each message must be an object')
        _string_field(message, 'role')
        _string_field(message, 'content')
    return str(messages[0]['content'])[:_PROMPT_PREFIX_CHARS]


def _parse_service_call(
    request: Request,
    organisation: OrganisationSpec,
    declarations: Declarations,
) -> ServiceCall:
    name, _, rest = request.target.removeprefix(SERVICES_PREFIX).partition('/')
    if name not in organisation.services:
        raise NotFoundError(f'{organisation.name} has no service {name!r}')
    common = _common_fields(request, organisation)
    path = f'/{rest}'
    if path.partition('?')[0] in _non_repeatable_paths(name, declarations):
        common['repeatable'] = False
    return ServiceCall(
        **common,
        service=name,
        path=path,
        method=request.method,
        content_type=request.headers.get('content-type', ''),
    )


def _non_repeatable_paths(
    name: str,
    declarations: Declarations,
) -> tuple[str, ...]:
    return next(
        (
            spec.non_repeatable_paths
            for spec in declarations.services
            if spec.name == name
        ),
        (),
    )
