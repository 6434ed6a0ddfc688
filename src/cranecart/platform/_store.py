"""The one client of the platform's store: rows, transactions, changes."""

import base64
import functools
from collections import Counter
from collections.abc import Mapping
from typing import Any, TypeVar
from urllib.parse import urlencode

import attrs
import curio
import msgspec
from curio.errors import TaskTimeout

from cranecart.exceptions import (
    ConnectFailedError,
    HistoryLostError,
    HttpError,
    PlatformSilentError,
    PlatformUnavailableError,
    WriteConflictError,
    WriteUnknownError,
)
from cranecart.http import Address, HttpConnectionPool, Request, Response
from cranecart.platform._era import StoreEra
from cranecart.ports import era_of, number_of, version_in

Message = TypeVar('Message')

# Well above the answers of a slow store; beyond it the store counts as away.
CALL_SECONDS = 1.5
# What a waiting call may take longer than it was asked to wait.
_WAIT_SLACK_SECONDS = 1.5
_PAGE_ROWS = 500
_OK = 200
_CONFLICT = 412
_HISTORY_GONE = 410
_NOT_DONE = frozenset((429, 503))
_MILLISECONDS = 1000
_RESTORED = 'the store has come back from a copy'
_LATE = 'the answer is of before the store came back from a copy'


class WireRow(msgspec.Struct, rename='camel'):
    """A row; ``keyFile`` is its key and ``schemaVersion`` its version.

    ``StoreClient`` returns versions that rise over all eras.
    """

    key_file: str
    table_name: str = ''
    part: str = ''
    value: str = ''
    schema_version: int = 0
    deleted: bool = False

    def decoded(self) -> bytes:
        """Return the row's value as its writer gave it."""
        return base64.b64decode(self.value)


class WireRows(msgspec.Struct, rename='camel'):
    """Rows read at one moment; ``schemaVersion`` is the table's newest."""

    schema_version: int
    rows: list[WireRow]
    truncated: bool = False

    def with_era(self, era: int) -> 'WireRows':
        """Return the same with versions that rise over all eras."""
        self.schema_version = version_in(era, self.schema_version)
        for row in self.rows:
            row.schema_version = version_in(era, row.schema_version)
        return self


class _WireCommitted(msgspec.Struct, rename='camel'):
    schema_version: int


def encode_value(value: bytes) -> str:
    """Return a row's value as it is sent."""
    return base64.b64encode(value).decode()


@attrs.define
class StoreClient:
    """Calls of one store on kept connections, each with a bound."""

    _address: Address
    counts: Counter[str] = attrs.field(factory=Counter, init=False)
    _era: StoreEra = attrs.field(factory=StoreEra, init=False)
    _pool: HttpConnectionPool = attrs.field(
        factory=functools.partial(HttpConnectionPool, tcp_keepalive=True),
        init=False,
    )

    @property
    def era(self) -> int:
        """Return the latest era of the store's answers."""
        return self._era.current

    async def read_part(
        self,
        table: str,
        part: str,
        first: str = '',
    ) -> WireRows:
        """Read a part from a key on, all pages of it.

        Raise ``HistoryLostError`` where they are of more than one era.
        """
        page = await self._read_page(table, part, first)
        era = era_of(page.schema_version)
        rows = list(page.rows)
        while page.truncated and page.rows:
            # The next page starts right behind the last key.
            page = await self._read_page(table, part, f'{rows[-1].key_file}\0')
            rows.extend(page.rows)
            if era_of(page.schema_version) != era:
                raise HistoryLostError(_RESTORED)
        return WireRows(page.schema_version, rows)

    async def feed(
        self,
        table: str,
        since: int,
        wait_seconds: float,
    ) -> WireRows:
        """Wait for a table's changes; raise ``HistoryLostError``."""
        if era_of(since) < self.era:
            raise HistoryLostError(_RESTORED)
        query = {
            'tableName': table,
            'sinceRevision': number_of(since),
            'waitMs': round(wait_seconds * _MILLISECONDS),
        }
        seconds = wait_seconds + _WAIT_SLACK_SECONDS
        rows = await self._get('/rows-feed', query, seconds)
        if era_of(rows.schema_version) != era_of(since):
            raise HistoryLostError(_RESTORED)
        return rows

    async def commit(self, body: Mapping[str, object]) -> int:
        """Send a transaction; return the version that its rows got."""
        self.counts['writes'] += 1
        request = Request(
            'POST',
            '/rows-tx',
            {'content-type': 'application/json'},
            msgspec.json.encode(body),
        )
        try:
            response = await self._exchange(request, CALL_SECONDS)
        except ConnectFailedError as error:
            raise PlatformUnavailableError(str(error)) from error
        except (HttpError, TaskTimeout) as error:
            raise WriteUnknownError(f'no answer to a write: {error}') from error
        _check_written(response.status)
        era = self._era.note(response.headers)
        if era < self.era:
            raise WriteUnknownError(_LATE)
        return version_in(era, _decode(response, _WireCommitted).schema_version)

    async def _read_page(self, table: str, part: str, first: str) -> WireRows:
        query = {'tableName': table, 'part': part, 'limit': _PAGE_ROWS}
        if first:
            query['fromVersion'] = first
        return await self._get('/rows-get', query, CALL_SECONDS)

    async def _get(
        self,
        path: str,
        query: Mapping[str, object],
        seconds: float,
    ) -> WireRows:
        self.counts[f'reads of {query["tableName"]}'] += 1
        request = Request('GET', f'{path}?{urlencode(query)}')
        response = await self._read(request, path, seconds)
        if response.status == _HISTORY_GONE:
            raise HistoryLostError(f'{path}: the history is gone')
        if response.status != _OK:
            raise PlatformUnavailableError(f'{path}: {response.status}')
        era = self._era.note(response.headers)
        if era < self.era:
            raise PlatformUnavailableError(_LATE)
        try:
            return _read_rows(response, str(query['tableName'])).with_era(era)
        except PlatformUnavailableError:
            # It may answer an earlier question, and so would the next one.
            await self._pool.close_idle(self._address)
            raise

    async def _read(
        self,
        request: Request,
        path: str,
        seconds: float,
    ) -> Response:
        try:
            return await self._exchange(request, seconds)
        except TaskTimeout as error:
            raise PlatformSilentError(f'{path}: {error!r}') from error
        except HttpError as error:
            raise PlatformUnavailableError(f'{path}: {error!r}') from error

    async def _exchange(self, request: Request, seconds: float) -> Response:
        try:
            return await curio.timeout_after(seconds, self._ask, request)
        except TaskTimeout:
            # What made one silent may have made all of them so, and each
            # would cost another call its whole bound.
            await self._pool.close_idle(self._address)
            raise

    async def _ask(self, request: Request) -> Response:
        connection = await self._pool.acquire(self._address)
        try:
            head = await connection.send_and_read_head(request)
            body = await connection.read_body()
        except BaseException:
            await connection.close()
            raise
        await self._pool.release(connection)
        self._era.note(head.headers)
        self.counts['store_era'] = self._era.current
        return Response(head.status, head.headers, body)


def _check_written(status: int) -> None:
    if status == _CONFLICT:
        raise WriteConflictError('a row has changed since it was read')
    if status in _NOT_DONE:
        raise PlatformUnavailableError(f'refused with {status}')
    if status != _OK:
        raise WriteUnknownError(f'answered with {status}')


def _read_rows(response: Response, table: str) -> WireRows:
    """Decode rows of a table; an answer to a write has none at all."""
    page = _decode(response, WireRows)
    if any(row.table_name not in {'', table} for row in page.rows):
        raise PlatformUnavailableError(f'rows of another table than {table!r}')
    return page


def _decode(response: Response, wanted: type[Message]) -> Message:
    try:
        return msgspec.json.decode(response.body, type=wanted)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise PlatformUnavailableError(f'unreadable answer: {error}') from error


def decode_row(row: WireRow, wanted: Any) -> Any:
    """Decode a row's value; raise ``PlatformUnavailableError``.

    What is null is read like what is not there.
    """
    try:
        return _decode_value(row.decoded(), wanted)
    except (ValueError, RecursionError, msgspec.MsgspecError) as error:
        raise PlatformUnavailableError(
            f'row {row.key_file!r} cannot be read: {error}',
        ) from error


def _decode_value(value: bytes, wanted: Any) -> Any:
    try:
        return msgspec.json.decode(value, type=wanted)
    except msgspec.ValidationError:
        # Nulls are rare, and leaving them out takes a second reading.
        told = _without_nulls(msgspec.json.decode(value))
        return msgspec.convert(told, wanted)


def _without_nulls(node: object) -> object:
    match node:
        case dict():
            return {
                key: _without_nulls(inner)
                for key, inner in node.items()
                if inner is not None
            }
        case list():
            return [_without_nulls(one) for one in node if one is not None]
    return node
