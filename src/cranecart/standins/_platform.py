"""Stand-in for the platform: table, objects, instance list, weight store."""

import time
from collections.abc import Mapping
from typing import Any

import attrs
import curio
import msgspec

from cranecart.exceptions import ConnectionBrokenError
from cranecart.http import (
    Address,
    HttpServer,
    Request,
    Responder,
    Response,
    json_response,
)
from cranecart.ports import Row, Transaction
from cranecart.standins._record import EventRecord

_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409
_TOO_MANY = 429
_HANG_SECONDS = 3600
_MILLISECONDS = 1000


@attrs.frozen
class PlatformOptions:
    """Latencies and capacities of the stand-in without faults."""

    list_lag_ms: int = 500
    load_ms: int = 500
    parallel_loads: int = 16
    writes_per_second: int = 500
    reads_per_second: int = 2000


@attrs.define
class Faults:
    """The injected faults.

    The responses of the next ``lose_answers`` commits that put keys with
    ``lose_prefix`` are lost, although the commits are executed.
    """

    down: bool = False
    hang: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    lose_prefix: str = ''


@attrs.define
class Table:
    """Versioned rows, changed only by transactions."""

    rows: dict[str, Row] = attrs.field(factory=dict)
    version: int = 0

    def commit(self, transaction: Transaction) -> Row | None:
        """Apply a transaction, or return the row whose check failed."""
        for check in transaction.checks:
            row = self.rows.get(check.key, Row(check.key, 0, ''))
            if row.version != check.version:
                return row
        self.version += 1
        for put in transaction.puts:
            self.rows[put.key] = Row(put.key, self.version, put.value)
        for key in transaction.deletes:
            self.rows.pop(key, None)
        return None

    def read(self, keys: list[str], prefix: str | None) -> list[Row]:
        """Return the rows of the keys, or all rows with a key prefix."""
        if prefix is not None:
            return [
                row
                for key, row in sorted(self.rows.items())
                if key.startswith(prefix)
            ]
        return [self.rows[key] for key in keys if key in self.rows]


@attrs.define
class RateLimit:
    """Limits the calls in each second of the monotonic clock."""

    per_second: int
    total: int = 0
    _second: int = 0
    _in_second: int = 0

    def allows(self) -> bool:
        """Count one call; return whether it is within the limit."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._in_second = 0
        self.total += 1
        self._in_second += 1
        return self._in_second <= self.per_second


class PlatformStandin:
    """The platform in one process, with its data in memory."""

    def __init__(
        self,
        address: Address,
        options: PlatformOptions,
        record: EventRecord,
    ) -> None:
        """Create the server; it listens only in ``run``."""
        self.server = HttpServer(address, self._handle)
        self._options = options
        self._record = record
        self._faults = Faults()
        self._table = Table()
        self._objects: dict[str, bytes] = {}
        self._instances: dict[str, dict[str, Any]] = {}
        self._listed: dict[str, dict[str, Any]] = {}
        self._list_version = 0
        self._reads = RateLimit(options.reads_per_second)
        self._writes = RateLimit(options.writes_per_second)
        self._loads = curio.Semaphore(options.parallel_loads)

    async def run(self) -> None:
        """Serve until cancelled."""
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(self.server.run)
            await tasks.spawn(self._publish_list)

    async def _publish_list(self) -> None:
        while True:
            await curio.sleep(self._options.list_lag_ms / _MILLISECONDS)
            if self._listed != self._instances:
                self._listed = dict(self._instances)
                self._list_version += 1

    async def _handle(self, request: Request, responder: Responder) -> None:
        if request.path.startswith('/standin/'):
            await responder.send(self._control(request))
            return
        await self._apply_faults()
        await responder.send(await self._answer(request))

    async def _apply_faults(self) -> None:
        if self._faults.down:
            raise ConnectionBrokenError('injected fault: the platform is down')
        if self._faults.hang:
            await curio.sleep(_HANG_SECONDS)
        if self._faults.delay_ms:
            await curio.sleep(self._faults.delay_ms / _MILLISECONDS)

    def _control(self, request: Request) -> Response:
        match request.path:
            case '/standin/faults':
                self._faults = msgspec.json.decode(request.body, type=Faults)
                self._record.write('platform_faults', faults=self._faults)
            case '/standin/instances':
                instance = msgspec.json.decode(request.body)
                self._instances[instance['id']] = instance
            case '/standin/forget':
                instance = msgspec.json.decode(request.body)
                self._instances.pop(instance['id'], None)
            case '/standin/counts':
                return json_response(_OK, self._counts())
        return json_response(_OK, {})

    def _counts(self) -> dict[str, int]:
        return {
            'reads': self._reads.total,
            'writes': self._writes.total,
            'rows': len(self._table.rows),
            'objects': len(self._objects),
        }

    async def _answer(self, request: Request) -> Response:
        match request.method, request.path:
            case 'GET', '/table':
                return self._read(request)
            case 'POST', '/table/commit':
                return self._commit(request)
            case 'GET', '/instances':
                return self._list(request.query)
            case 'POST', '/weights':
                async with self._loads:
                    await curio.sleep(self._options.load_ms / _MILLISECONDS)
                return json_response(_OK, {})
            case method, path if path.startswith('/objects/'):
                return self._object(method, path, request.body)
        return json_response(_NOT_FOUND, {})

    def _read(self, request: Request) -> Response:
        if not self._reads.allows():
            return json_response(_TOO_MANY, {})
        query = request.query
        keys = query.get('keys', '').split(',')
        rows = self._table.read(keys, query.get('prefix'))
        return json_response(_OK, {'rows': rows})

    def _commit(self, request: Request) -> Response:
        if not self._writes.allows():
            return json_response(_TOO_MANY, {})
        transaction = msgspec.json.decode(request.body, type=Transaction)
        conflict = self._table.commit(transaction)
        if self._drops_response(transaction):
            raise ConnectionBrokenError('injected fault: the response is lost')
        if conflict is not None:
            return json_response(_CONFLICT, {'row': conflict})
        return json_response(_OK, {'version': self._table.version})

    def _drops_response(self, transaction: Transaction) -> bool:
        prefix = self._faults.lose_prefix
        if self._faults.lose_answers <= 0:
            return False
        if not any(put.key.startswith(prefix) for put in transaction.puts):
            return False
        self._faults.lose_answers -= 1
        return True

    def _list(self, query: Mapping[str, str]) -> Response:
        if not self._reads.allows():
            return json_response(_TOO_MANY, {})
        if query.get('since') == str(self._list_version):
            return json_response(_OK, {'version': self._list_version})
        failure_domain = query.get('failure_domain')
        entries = [
            instance
            for instance in self._listed.values()
            if failure_domain in {None, instance['failure_domain']}
        ]
        return json_response(
            _OK,
            {'version': self._list_version, 'instances': entries},
        )

    def _object(self, method: str, path: str, body: bytes) -> Response:
        if method == 'PUT':
            self._writes.allows()
            self._objects[path] = body
            return json_response(_OK, {})
        self._reads.allows()
        if path not in self._objects:
            return json_response(_NOT_FOUND, {})
        return Response(_OK, {}, self._objects[path])
