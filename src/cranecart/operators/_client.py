"""Client of the admin interface, for the operators' commands."""

import uuid
from http import HTTPStatus
from typing import Any, TypeVar

import attrs
import curio
import msgspec

from cranecart.clocks import since_boot
from cranecart.declarations import Declarations, compiled_to_json
from cranecart.exceptions import (
    ConnectFailedError,
    HttpError,
    OperatorError,
    PlatformUnavailableError,
    WriteConflictError,
    WriteUnknownError,
)
from cranecart.http import Address, Request, Response, exchange
from cranecart.models import Evacuation
from cranecart.operators._admin import (
    ApplyMessage,
    EvacuationMessage,
    NodeStatus,
)
from cranecart.rollout import Change

Message = TypeVar('Message')

_CALL_SECONDS = 15.0
_READ_BACK_ATTEMPTS = 3
# A node that starts, or that just lost its platform, takes changes again within
# some seconds.
_REPEAT_SECONDS = 10.0
_REPEAT_PAUSE_SECONDS = 0.5
# Raised where nothing was written, so that the call may be repeated.
_NOT_RUN_ERRORS = (ConnectFailedError, PlatformUnavailableError)


@attrs.frozen
class DeclaredVersion:
    """A version and its declarations, if there are any."""

    version: int
    declarations: Declarations | None


@attrs.define
class OperatorClient:
    """Calls one node's admin interface with an operator key.

    A change that is known not to have run is sent again for
    ``_repeat_seconds``.
    """

    address: Address
    _key: str
    _repeat_seconds: float = _REPEAT_SECONDS

    async def status(self) -> NodeStatus:
        """Return the node's status."""
        return await self._get('/v1/status', NodeStatus)

    async def changes(self) -> list[Change]:
        """Return the history, oldest first."""
        return await self._get('/v1/changes', list[Change])

    async def declared(self, version: int | None = None) -> DeclaredVersion:
        """Return the declarations of a version, by default the newest."""
        query = '' if version is None else f'?version={version}'
        return await self._get(f'/v1/declarations{query}', DeclaredVersion)

    async def change_evacuation(
        self, failure_domain: str, is_active: bool
    ) -> Evacuation:
        """Start or end an evacuation; it may be repeated without harm."""
        message = EvacuationMessage(failure_domain, is_active)
        request = Request(
            'POST',
            '/v1/evacuations',
            self._headers(),
            msgspec.json.encode(message),
        )
        return _decode(await self._exchange(request), Evacuation)

    async def apply(
        self,
        declarations: Declarations,
        base_version: int,
        author: str,
        note: str = '',
    ) -> Change:
        """Submit a change; read back its outcome if the response is lost.

        Raise ``ConnectFailedError`` or ``PlatformUnavailableError`` if it was
        not run however often it was sent.
        Raise ``WriteConflictError`` if another change came first and
        ``WriteUnknownError``, with the change's id, if the outcome is unknown.
        """
        change_id = uuid.uuid4().hex
        message = ApplyMessage(
            base_version,
            change_id,
            author,
            msgspec.Raw(compiled_to_json(declarations)),
            note,
        )
        request = Request(
            'POST',
            '/v1/changes',
            self._headers(),
            msgspec.json.encode(message),
        )
        try:
            return await self._submit(request)
        except _NOT_RUN_ERRORS:
            raise
        except (WriteUnknownError, HttpError):
            return await self._read_back_change(change_id)

    async def _submit(self, request: Request) -> Change:
        """Send a change until it may have run."""
        ends_at = since_boot() + self._repeat_seconds
        while True:
            try:
                return _decode(await self._exchange(request), Change)
            except _NOT_RUN_ERRORS:
                if since_boot() > ends_at:
                    raise
            await curio.sleep(_REPEAT_PAUSE_SECONDS)

    async def _read_back_change(self, change_id: str) -> Change:
        for _attempt in range(_READ_BACK_ATTEMPTS):
            try:
                return await self._get(f'/v1/changes/{change_id}', Change)
            except (HttpError, PlatformUnavailableError):
                continue
            except OperatorError as error:
                raise WriteConflictError(
                    f'change {change_id} was not accepted: {error}',
                ) from error
        raise WriteUnknownError(
            f'the outcome of change {change_id} is unknown; '
            'look for it in "cranecart history" before applying again',
        )

    async def _get(self, target: str, response_type: type[Message]) -> Message:
        request = Request('GET', target, self._headers())
        return _decode(await self._exchange(request), response_type)

    def _headers(self) -> dict[str, str]:
        return {'authorization': f'Bearer {self._key}'}

    async def _exchange(self, request: Request) -> Response:
        return await exchange(self.address, request, _CALL_SECONDS)


def _decode(response: Response, response_type: type[Message]) -> Message:
    if response.is_success:
        return msgspec.json.decode(response.body, type=response_type)
    message = _error_message(response)
    match response.status:
        case HTTPStatus.CONFLICT:
            raise WriteConflictError(message)
        case HTTPStatus.SERVICE_UNAVAILABLE:
            raise PlatformUnavailableError(message)
        case HTTPStatus.GATEWAY_TIMEOUT:
            raise WriteUnknownError(message)
    raise OperatorError(message)


def _error_message(response: Response) -> str:
    try:
        body: Any = msgspec.json.decode(response.body)
        return str(body['error'])
    except (msgspec.DecodeError, KeyError, TypeError):
        return f'the node answered with status {response.status}'
