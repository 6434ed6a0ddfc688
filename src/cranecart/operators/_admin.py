"""The admin interface: health, readiness, metrics, status and changes."""

import hashlib
import hmac
from collections.abc import Callable
from typing import Any

import attrs
import msgspec

from cranecart.declarations import (
    DomainVersions,
    compiled_from_json,
    compiled_to_json,
)
from cranecart.exceptions import (
    PlatformError,
    WriteConflictError,
    WriteUnknownError,
)
from cranecart.gossip import MemberInfo
from cranecart.http import Request, Responder, Response, json_response
from cranecart.rollout import (
    ActiveConfig,
    ConfigHistory,
    ConfigPoller,
    EvacuationTable,
)
from cranecart.targets import ServingReplica

_OK = 200
_BAD_REQUEST = 400
_UNAUTHORIZED = 401
_NOT_FOUND = 404
_CONFLICT = 409
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_CHANGES = '/v1/changes'


@attrs.frozen
class NodeStatus:
    """The status of a node and its view of the deployment."""

    node: str
    failure_domain: str
    ready: bool
    config_version: int
    duties: dict[str, str]
    replicas: tuple[ServingReplica, ...]
    services: tuple[str, ...]
    nodes: dict[str, MemberInfo]
    domains: dict[str, DomainVersions]
    in_flight: int
    evacuated: tuple[str, ...] = ()


@attrs.frozen
class ApplyMessage:
    """A request to apply a change."""

    base_version: int
    change_id: str
    author: str
    declarations: Any
    note: str = ''


@attrs.frozen
class EvacuationMessage:
    """A request to start or end the evacuation of a failure domain."""

    failure_domain: str
    is_active: bool


@attrs.define
class AdminInterface:
    """Serves operators and monitoring systems."""

    _key_sha256: str
    _history: ConfigHistory
    _active_config: ActiveConfig
    _poller: ConfigPoller
    _is_ready: Callable[[], bool]
    _status: Callable[[], NodeStatus]
    _metrics: Callable[[], bytes]
    _evacuation_table: EvacuationTable

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one request."""
        match request.path:
            case '/healthz':
                response = json_response(_OK, {'healthy': True})
            case '/readyz':
                ready = self._is_ready()
                status = _OK if ready else _UNAVAILABLE
                response = json_response(status, {'ready': ready})
            case '/metrics':
                headers = {'content-type': 'text/plain; version=0.0.4'}
                response = Response(_OK, headers, self._metrics())
            case _:
                response = await self._handle_authenticated(request)
        await responder.send(response)

    async def _handle_authenticated(self, request: Request) -> Response:
        _, _, key = request.headers.get('authorization', '').partition(' ')
        digest = hashlib.sha256(key.encode()).hexdigest()
        if not hmac.compare_digest(digest, self._key_sha256):
            return _error_response(_UNAUTHORIZED, 'invalid operator key')
        try:
            return await self._route(request)
        except WriteConflictError as error:
            return _error_response(_CONFLICT, str(error))
        except WriteUnknownError as error:
            return _error_response(_GATEWAY_TIMEOUT, str(error))
        except PlatformError as error:
            return _error_response(_UNAVAILABLE, str(error))
        except (ValueError, msgspec.MsgspecError) as error:
            return _error_response(_BAD_REQUEST, str(error))

    async def _route(self, request: Request) -> Response:
        method, path = request.method, request.path
        match method, path:
            case 'GET', '/v1/status':
                return json_response(_OK, self._status())
            case 'GET', '/v1/changes':
                return json_response(_OK, await self._history.changes())
            case 'POST', '/v1/changes' | '/v1/evacuations':
                is_change = path == _CHANGES
                handle = self._apply if is_change else self._change_evacuation
                return await handle(request)
            case 'GET', '/v1/declarations':
                return await self._declarations(request)
        if method == 'GET' and path.startswith(f'{_CHANGES}/'):
            change_id = path.removeprefix(f'{_CHANGES}/')
            change = await self._history.find(change_id)
            if change is not None:
                return json_response(_OK, change)
            return _error_response(
                _NOT_FOUND, f'no change {change_id} was accepted'
            )
        return _error_response(_NOT_FOUND, f'no such path: {path}')

    async def _apply(self, request: Request) -> Response:
        message = msgspec.json.decode(request.body, type=ApplyMessage)
        encoded = compiled_to_json(
            compiled_from_json(msgspec.json.encode(message.declarations)),
        )
        change = await self._history.append(
            message.base_version,
            message.change_id,
            message.author,
            encoded,
            message.note,
        )
        self._active_config.activate(change.release, encoded)
        return json_response(_OK, change)

    async def _change_evacuation(self, request: Request) -> Response:
        message = msgspec.json.decode(request.body, type=EvacuationMessage)
        declarations = self._active_config.declarations()
        declared = declarations.failure_domains if declarations else ()
        # An evacuation of a domain that was removed since can still be ended.
        if message.is_active and message.failure_domain not in declared:
            raise ValueError(
                f'{message.failure_domain!r} is none of the declared failure '
                f'domains: {", ".join(declared)}'
            )
        evacuation = await self._evacuation_table.change(
            message.failure_domain, message.is_active
        )
        return json_response(_OK, evacuation)

    async def _declarations(self, request: Request) -> Response:
        version = request.query.get('version')
        if version is None:
            await self._poller.poll()
            release = self._active_config.release
            encoded = self._active_config.encoded or b'null'
        else:
            change = await self._history.change(int(version))
            if change is None:
                return _error_response(
                    _NOT_FOUND, f'there is no version {version}'
                )
            release = change.release
            encoded = await self._poller.read(release)
        return json_response(
            _OK,
            {
                'version': release.version,
                'declarations': msgspec.Raw(encoded),
            },
        )


def _error_response(status: int, message: str) -> Response:
    return json_response(status, {'error': message})
