"""Client of the platform's services, with typed responses and errors."""

import functools
import hashlib
from collections.abc import Iterable, Iterator
from typing import TypeVar
from urllib.parse import urlencode

import attrs
import msgspec

from cranecart.exceptions import (
    ConnectFailedError,
    CorruptObjectError,
    HttpError,
    PlatformUnavailableError,
    WriteConflictError,
    WriteUnknownError,
)
from cranecart.http import (
    Address,
    Request,
    Response,
    exchange,
    exchange_in_progress,
)
from cranecart.instances import Instance
from cranecart.logs import UnreadableRowLog
from cranecart.ports import Row, Transaction

Message = TypeVar('Message')

_CALL_TIMEOUT_SECONDS = 2.0
_CONFLICT = 409
# How much of an unreadable entry is logged.
_MAX_LOGGED_BYTES = 80
_TOO_MANY_REQUESTS = 429


@attrs.frozen
class _Rows:
    rows: tuple[Row, ...]


@attrs.frozen
class _Committed:
    version: int


@attrs.frozen
class InstanceList:
    """The instance list; ``instances`` is ``None`` if it has not changed."""

    version: int
    instances: tuple[Instance, ...] | None = None


@attrs.frozen
class _RawList:
    version: int
    instances: tuple[msgspec.Raw, ...] | None = None


@attrs.define
class PlatformClient:
    """Calls a platform, with a timeout of ``timeout_seconds`` per call.

    An answer that has begun to arrive may take longer while it makes progress.
    ``reads`` and ``writes`` count the calls. Reads raise
    ``PlatformUnavailableError`` if they fail.
    """

    address: Address
    timeout_seconds: float = _CALL_TIMEOUT_SECONDS
    reads: int = attrs.field(default=0, init=False)
    writes: int = attrs.field(default=0, init=False)
    _unreadable: UnreadableRowLog = attrs.field(
        factory=functools.partial(UnreadableRowLog, 'list_entry_unreadable'),
        init=False,
    )

    @property
    def era(self) -> int:
        """Return 0, as the native table is never restored from a backup."""
        return 0

    async def read_keys(self, keys: Iterable[str]) -> dict[str, Row]:
        """Read rows by key; absent rows are left out."""
        query = urlencode({'keys': ','.join(keys)})
        return await self._read_rows(query)

    async def read_prefix(self, prefix: str) -> dict[str, Row]:
        """Read all rows whose keys start with a prefix."""
        return await self._read_rows(urlencode({'prefix': prefix}))

    async def commit(self, transaction: Transaction) -> int:
        """Commit a transaction; return the version of its rows.

        Raise ``WriteConflictError`` or ``PlatformUnavailableError`` if nothing
        was written, ``WriteUnknownError`` if that is unknown.
        """
        self.writes += 1
        request = Request(
            'POST',
            '/table/commit',
            body=msgspec.json.encode(transaction),
        )
        try:
            response = await exchange(
                self.address, request, self.timeout_seconds
            )
        except ConnectFailedError as error:
            raise PlatformUnavailableError(str(error)) from error
        except HttpError as error:
            raise WriteUnknownError(str(error)) from error
        if response.status == _CONFLICT:
            raise WriteConflictError(response.body.decode())
        if response.status == _TOO_MANY_REQUESTS:
            raise PlatformUnavailableError(
                'the table refused the commit: its rate limit is exceeded'
            )
        if not response.is_success:
            raise WriteUnknownError(
                f'unexpected status {response.status} in response to a commit'
            )
        return msgspec.json.decode(response.body, type=_Committed).version

    async def instances(
        self,
        failure_domain: str | None,
        since: int,
    ) -> InstanceList:
        """Read the running and leaving instances, if the list has changed.

        ``since`` is the version of the list that the caller has.
        """
        query = {'since': str(since)}
        if failure_domain is not None:
            query['failure_domain'] = failure_domain
        response = await self._get(f'/instances?{urlencode(query)}')
        listed = _decode(response, _RawList)
        return InstanceList(
            listed.version,
            None
            if listed.instances is None
            else tuple(self._readable(listed.instances)),
        )

    async def put_object(self, body: bytes) -> str:
        """Store bytes under their SHA-256 checksum; return the checksum."""
        name = hashlib.sha256(body).hexdigest()
        self.writes += 1
        request = Request('PUT', f'/objects/{name}', body=body)
        try:
            response = await exchange(
                self.address, request, self.timeout_seconds
            )
        except HttpError as error:
            # Storing the same bytes again is harmless, so that the caller may
            # retry even if the object was stored.
            raise PlatformUnavailableError(str(error)) from error
        if not response.is_success:
            raise PlatformUnavailableError(
                f'cannot store object {name}: unexpected status '
                f'{response.status}'
            )
        return name

    async def get_object(self, name: str) -> bytes:
        """Read bytes by checksum; raise ``CorruptObjectError`` on mismatch."""
        response = await self._get(f'/objects/{name}')
        if hashlib.sha256(response.body).hexdigest() != name:
            raise CorruptObjectError(
                f'the content of object {name} does not match its checksum'
            )
        return response.body

    def _readable(self, entries: Iterable[msgspec.Raw]) -> Iterator[Instance]:
        for entry in entries:
            try:
                instance = msgspec.json.decode(entry, type=Instance)
            except (ValueError, RecursionError, msgspec.MsgspecError) as error:
                key = bytes(entry)[:_MAX_LOGGED_BYTES].decode(errors='replace')
                self._unreadable.report(key, str(error))
            else:
                yield instance

    async def _read_rows(self, query: str) -> dict[str, Row]:
        response = await self._get(f'/table?{query}')
        return {row.key: row for row in _decode(response, _Rows).rows}

    async def _get(self, target: str) -> Response:
        self.reads += 1
        try:
            response = await exchange_in_progress(
                self.address,
                Request('GET', target),
                self.timeout_seconds,
            )
        except HttpError as error:
            raise PlatformUnavailableError(str(error)) from error
        if not response.is_success:
            raise PlatformUnavailableError(
                f'{target}: unexpected status {response.status}',
            )
        return response


def _decode(response: Response, message_type: type[Message]) -> Message:
    try:
        return msgspec.json.decode(response.body, type=message_type)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise PlatformUnavailableError(
            f'cannot decode a response of the platform: {error}'
        ) from error
