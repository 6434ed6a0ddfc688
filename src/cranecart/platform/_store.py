"""The client of the platform's store: rows, transactions and changes."""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import TypeVar
from urllib.parse import urlencode

import attrs
import msgspec
from curio.errors import TaskTimeout

from cranecart.exceptions import (
    ConnectFailedError,
    HistoryLostError,
    HttpError,
    PlatformTimeoutError,
    PlatformUnavailableError,
    WriteConflictError,
    WriteUnknownError,
)
from cranecart.http import (
    Address,
    AnswerReader,
    HttpConnectionPool,
    Request,
    Response,
    ResponseLimits,
    ResponseMemory,
)
from cranecart.platform._era import StoreEra
from cranecart.platform._paged_read import PagedRead
from cranecart.platform._wire_rows import WireRows
from cranecart.ports import era_of, make_version, store_number_of

Message = TypeVar('Message')

# Well above the response times of a slow store. A store that takes longer to
# begin an answer counts as unreachable.
CALL_TIMEOUT_SECONDS = 1.5
# How much longer than the requested wait a long poll may take.
_POLL_MARGIN_SECONDS = 1.5
_PAGE_ROWS = 500
# Many times a page, which has a megabyte, and some of them at once.
_MAX_ANSWER_BYTES = 16_000_000
_MAX_TOTAL_BYTES = 2 * _MAX_ANSWER_BYTES
_ANSWER_LIMITS = ResponseLimits(
    body_bytes=_MAX_ANSWER_BYTES, total_bytes=_MAX_TOTAL_BYTES
)
_FEED_PATH = '/rows-feed'
_OK = 200
_CONFLICT = 412
_GONE = 410
_NOT_EXECUTED_STATUSES = frozenset((429, 503))
_MILLISECONDS = 1000
_RESTORED_STORE = 'the store was restored from a backup'
_STALE_ANSWER = (
    'the answer was sent before the store was restored from a backup'
)


class _WireCommitted(msgspec.Struct, rename='camel'):
    schema_version: int


@attrs.define
class StoreClient:
    """Calls a store on persistent connections, with a timeout per call.

    An answer that has begun to arrive may take longer while it makes progress.
    ``counts`` holds the numbers of calls by kind and the store's era.
    """

    _address: Address
    counts: Counter[str] = attrs.field(factory=Counter, init=False)
    _era: StoreEra = attrs.field(factory=StoreEra, init=False)
    _pool: HttpConnectionPool = attrs.field(
        factory=lambda: HttpConnectionPool(
            tcp_keepalive=True, memory=ResponseMemory(_ANSWER_LIMITS)
        ),
        init=False,
    )

    # The tables whose changes are being received.
    _arriving: set[str] = attrs.field(factory=set, init=False)

    @property
    def era(self) -> int:
        """Return the highest era of the store's answers."""
        return self._era.current

    def is_receiving_changes(self, table: str) -> bool:
        """Return whether the answer to a long poll is being received."""
        return table in self._arriving

    async def read_part(
        self,
        table: str,
        part: str,
        start_key: str = '',
        *,
        rows_are_independent: bool = False,
    ) -> WireRows:
        """Read all pages of a part, from a key on, as of one version.

        Raise ``HistoryLostError`` if the store cannot list the changes between
        two pages. Rows that are independent of each other are then returned
        without these; all changes that they may lack follow their version.
        """
        read = PagedRead(
            table,
            self.read_page,
            self.feed,
            rows_are_independent=rows_are_independent,
        )
        await read.add_part(part, start_key)
        return read.contents()

    async def read_parts(self, table: str, parts: Iterable[str]) -> WireRows:
        """Read all pages of several parts, as of one version.

        Raise ``HistoryLostError`` if the store cannot list the changes between
        two pages.
        """
        read = PagedRead(table, self.read_page, self.feed)
        for part in parts:
            await read.add_part(part)
        return read.contents()

    async def read_page(
        self, table: str, part: str, start_key: str
    ) -> WireRows:
        """Read one page of a part, from a key on."""
        query = {'tableName': table, 'part': part, 'limit': _PAGE_ROWS}
        if start_key:
            query['fromVersion'] = start_key
        return await self._get('/rows-get', query, CALL_TIMEOUT_SECONDS)

    async def feed(
        self,
        table: str,
        since: int,
        wait_seconds: float,
    ) -> WireRows:
        """Wait for changes of a table since a version.

        Raise ``HistoryLostError`` if the store cannot list them any more.
        """
        if era_of(since) < self.era:
            raise HistoryLostError(_RESTORED_STORE)
        query = {
            'tableName': table,
            'sinceRevision': store_number_of(since),
            'waitMs': round(wait_seconds * _MILLISECONDS),
        }
        timeout_seconds = wait_seconds + _POLL_MARGIN_SECONDS
        rows = await self._get(_FEED_PATH, query, timeout_seconds)
        if era_of(rows.schema_version) != era_of(since):
            raise HistoryLostError(_RESTORED_STORE)
        return rows

    async def commit(self, body: Mapping[str, object]) -> int:
        """Commit a transaction; return the version of its rows.

        Raise ``WriteConflictError`` or ``PlatformUnavailableError`` if nothing
        was written, ``WriteUnknownError`` if that is unknown.
        """
        self.counts['writes'] += 1
        request = Request(
            'POST',
            '/rows-tx',
            {'content-type': 'application/json'},
            msgspec.json.encode(body),
        )
        try:
            response = await self._exchange(request, CALL_TIMEOUT_SECONDS)
        except ConnectFailedError as error:
            raise PlatformUnavailableError(str(error)) from error
        except (HttpError, TaskTimeout) as error:
            raise WriteUnknownError(
                f'no answer to a commit: {error}'
            ) from error
        _check_write_status(response.status)
        era = self._era.record(response.headers)
        if era < self.era:
            raise WriteUnknownError(_STALE_ANSWER)
        return make_version(
            era, _decode(response, _WireCommitted).schema_version
        )

    async def _get(
        self,
        path: str,
        query: Mapping[str, object],
        timeout_seconds: float,
    ) -> WireRows:
        self.counts[f'reads of {query["tableName"]}'] += 1
        request = Request('GET', f'{path}?{urlencode(query)}')
        response = await self._read(request, path, timeout_seconds)
        if response.status == _GONE:
            raise HistoryLostError(
                f'{path}: the store cannot list the changes since that version'
            )
        if response.status != _OK:
            raise PlatformUnavailableError(
                f'{path}: unexpected status {response.status}'
            )
        era = self._era.record(response.headers)
        if era < self.era:
            raise PlatformUnavailableError(_STALE_ANSWER)
        try:
            return _read_rows(response, str(query['tableName'])).add_era(era)
        except PlatformUnavailableError:
            # This may be the answer to an earlier request; then the following
            # answers on that connection would be shifted as well.
            await self._pool.close_idle(self._address)
            raise

    async def _read(
        self,
        request: Request,
        path: str,
        timeout_seconds: float,
    ) -> Response:
        try:
            return await self._exchange(request, timeout_seconds)
        except TaskTimeout as error:
            raise PlatformTimeoutError(f'{path}: {error!r}') from error
        except HttpError as error:
            raise PlatformUnavailableError(f'{path}: {error!r}') from error

    async def _exchange(
        self, request: Request, timeout_seconds: float
    ) -> Response:
        try:
            return await self._send(request, timeout_seconds)
        except TaskTimeout:
            # The other persistent connections may be dead for the same reason,
            # and each of them would cost another call its full timeout.
            await self._pool.close_idle(self._address)
            raise

    async def _send(self, request: Request, head_seconds: float) -> Response:
        connection = await self._pool.acquire(self._address)
        feed = request.query['tableName'] if request.path == _FEED_PATH else ''
        try:
            response = await AnswerReader(connection).exchange(
                request, head_seconds, lambda: self._arriving.add(feed)
            )
        except BaseException:
            await connection.close()
            raise
        finally:
            self._arriving.discard(feed)
        await self._pool.release(connection)
        self._era.record(response.headers)
        self.counts['store_era'] = self._era.current
        return response


def _check_write_status(status: int) -> None:
    if status == _CONFLICT:
        raise WriteConflictError(
            'a row of the transaction has changed since it was read'
        )
    if status in _NOT_EXECUTED_STATUSES:
        raise PlatformUnavailableError(
            f'the store refused a commit with status {status}'
        )
    if status != _OK:
        raise WriteUnknownError(
            f'the store answered a commit with status {status}'
        )


def _read_rows(response: Response, table: str) -> WireRows:
    """Decode the rows of a table; reject the answer to another request.

    The answer to a commit has no ``rows`` field and fails to decode.
    """
    page = _decode(response, WireRows)
    if any(row.table_name not in {'', table} for row in page.rows):
        raise PlatformUnavailableError(
            f'expected rows of table {table!r}, got rows of another table'
        )
    return page


def _decode(response: Response, message_type: type[Message]) -> Message:
    try:
        return msgspec.json.decode(response.body, type=message_type)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise PlatformUnavailableError(
            f'cannot decode an answer of the store: {error}'
        ) from error
