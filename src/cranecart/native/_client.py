"""Calls of the platform's services, with typed answers and errors."""

import hashlib
from collections.abc import Iterable
from typing import TypeVar
from urllib.parse import urlencode

import attrs
import msgspec

from cranecart.exceptions import (
    ConnectFailedError,
    DamagedObjectError,
    HttpError,
    PlatformUnavailableError,
    WriteConflictError,
    WriteUnknownError,
)
from cranecart.http import Address, Request, Response, exchange
from cranecart.instances import Instance
from cranecart.ports import Row, Transaction

Message = TypeVar('Message')

_CALL_SECONDS = 2.0
_CONFLICT = 409
_TOO_MANY = 429


@attrs.frozen
class _Rows:
    rows: tuple[Row, ...]


@attrs.frozen
class _Committed:
    version: int


@attrs.frozen
class InstanceList:
    """The platform's list; no instances where nothing changed since."""

    version: int
    instances: tuple[Instance, ...] | None = None


@attrs.define
class PlatformClient:
    """Asks one platform; every call has a bound of ``call_seconds``."""

    address: Address
    call_seconds: float = _CALL_SECONDS
    reads: int = attrs.field(default=0, init=False)
    writes: int = attrs.field(default=0, init=False)

    @property
    def era(self) -> int:
        """Return 0: the native table never comes back from a copy."""
        return 0

    async def read_keys(self, keys: Iterable[str]) -> dict[str, Row]:
        """Read rows by key; absent rows are left out."""
        query = urlencode({'keys': ','.join(keys)})
        return await self._read_rows(query)

    async def read_prefix(self, prefix: str) -> dict[str, Row]:
        """Read all rows whose keys start with a prefix."""
        return await self._read_rows(urlencode({'prefix': prefix}))

    async def commit(self, transaction: Transaction) -> int:
        """Write a transaction; return the version that its rows got.

        Raise ``WriteConflictError`` or ``PlatformUnavailableError`` where
        nothing was written, ``WriteUnknownError`` where nobody can tell.
        """
        self.writes += 1
        request = Request(
            'POST',
            '/table/commit',
            body=msgspec.json.encode(transaction),
        )
        try:
            response = await exchange(self.address, request, self.call_seconds)
        except ConnectFailedError as error:
            raise PlatformUnavailableError(str(error)) from error
        except HttpError as error:
            raise WriteUnknownError(str(error)) from error
        if response.status == _CONFLICT:
            raise WriteConflictError(response.body.decode())
        if response.status == _TOO_MANY:
            raise PlatformUnavailableError('the table refuses over its rate')
        if not response.is_success:
            raise WriteUnknownError(f'the table answered {response.status}')
        return msgspec.json.decode(response.body, type=_Committed).version

    async def instances(
        self,
        failure_domain: str | None,
        since: int,
    ) -> InstanceList:
        """Read the list of live and leaving instances, if it changed."""
        query = {'since': str(since)}
        if failure_domain is not None:
            query['failure_domain'] = failure_domain
        response = await self._get(f'/instances?{urlencode(query)}')
        return _decode(response, InstanceList)

    async def put_object(self, body: bytes) -> str:
        """Store bytes under the name of their checksum; return the name."""
        name = hashlib.sha256(body).hexdigest()
        self.writes += 1
        request = Request('PUT', f'/objects/{name}', body=body)
        try:
            response = await exchange(self.address, request, self.call_seconds)
        except HttpError as error:
            # Storing the same bytes again does no harm, so this is no
            # unknown write: the caller may simply try once more.
            raise PlatformUnavailableError(str(error)) from error
        if not response.is_success:
            raise PlatformUnavailableError(f'objects: {response.status}')
        return name

    async def get_object(self, name: str) -> bytes:
        """Read bytes by checksum; raise ``DamagedObjectError`` if wrong."""
        response = await self._get(f'/objects/{name}')
        if hashlib.sha256(response.body).hexdigest() != name:
            raise DamagedObjectError(f'object {name} does not match its name')
        return response.body

    async def _read_rows(self, query: str) -> dict[str, Row]:
        response = await self._get(f'/table?{query}')
        return {row.key: row for row in _decode(response, _Rows).rows}

    async def _get(self, target: str) -> Response:
        self.reads += 1
        try:
            response = await exchange(
                self.address,
                Request('GET', target),
                self.call_seconds,
            )
        except HttpError as error:
            raise PlatformUnavailableError(str(error)) from error
        if not response.is_success:
            raise PlatformUnavailableError(
                f'{target} was answered with {response.status}',
            )
        return response


def _decode(response: Response, wanted: type[Message]) -> Message:
    try:
        return msgspec.json.decode(response.body, type=wanted)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise PlatformUnavailableError(f'unreadable answer: {error}') from error
