"""The platform adapter's client and sources against a stand-in store."""

import socket
import unittest
from collections.abc import Awaitable, Callable
from types import MappingProxyType
from typing import TypeVar

import curio

from cranecart.exceptions import (
    HistoryLostError,
    PlatformUnavailableError,
    WriteConflictError,
    WriteUnknownError,
)
from cranecart.http import Address
from cranecart.models import RouteConfig
from cranecart.platform import (
    PlatformConfigSource,
    PlatformRowSource,
    PlatformTable,
    PlatformTargetList,
    StoreClient,
)
from cranecart.ports import Check, MemberPhase, Put, Transaction
from tests.platform._standin import StandinStore, start

Result = TypeVar('Result')

_ENTRY = MappingProxyType(
    {
        'service': 's1',
        'address': '10.0.0.1:80',
        'zone': 'east',
        'version': 'v1',
        'slots': 13,
        'state': 'draining',
        'sequence': 4,
        'phase': 'unified',
        'models': [{'name': 'm', 'version': 1, 'loras': []}],
        'domain': 'east-d0',
        'staged': ['m'],
        'group': {'name': 'g', 'epoch': 7, 'rank': 0, 'state': 'open'},
    }
)
_CONFIG = MappingProxyType(
    {
        'version': 7,
        'routes': [
            {
                'name': 'r1',
                'host': 'a.example',
                'pathPrefix': '/x/',
                'type': 'streaming',
                'timeoutMs': 8000,
                'sloMs': 300,
                'priority': 1,
                'split': [
                    {'service': 's1', 'weight': 90},
                    {'service': 's2', 'weight': 10},
                ],
                'attempts': 2,
                'public': False,
                'resumable': True,
                'gapTargetMs': 300,
            },
            {
                'name': 'r2',
                'host': 'a.example',
                'pathPrefix': '/x/y/',
                'type': 'unsafe',
                'timeoutMs': 600,
                'service': 's2',
                'public': True,
            },
        ],
        'services': [{'name': 's1'}, {'name': 's2', 'later': 'field'}],
        'limits': {'maxBodyBytes': 100},
        'tenants': [{'name': 't', 'apiKeys': ['k1', 'k2'], 'priority': 0}],
    }
)


class StoreClientTest(unittest.TestCase):
    """Results and errors of the ports for the store's answers."""

    def setUp(self) -> None:
        """Start with an empty store."""
        self.store = StandinStore()

    def test_transactions(self) -> None:
        """A transaction changes rows only if its checks pass."""
        curio.run(self._call_with_client, self._commit_with_checks)

    def test_pages(self) -> None:
        """All pages of a part are read."""
        self.store.page_rows = 3
        for number in range(8):
            self.store.put('t', 'p', f'k{number}', number)
        rows = self._run(
            lambda client: PlatformTable(client).read_prefix('t/p/')
        )
        self.assertEqual(len(rows), 8)

    def test_lost_answer_to_a_commit(self) -> None:
        """Without an answer, the commit may have been executed."""
        self.store.faults.append('lost')
        put = Transaction((), (Put('t/p/k', 'v'),))
        with self.assertRaises(WriteUnknownError):
            self._commit(put)
        self.assertIn(('t', 'p', 'k'), self.store.rows)

    def test_refused_commits(self) -> None:
        """A status of 429 or 503 means that nothing was written."""
        put = Transaction((), (Put('t/p/k', 'v'),))
        for status in (429, 503):
            self.store.faults.append(status)
            with self.assertRaises(PlatformUnavailableError):
                self._commit(put)
        self.assertEqual(self.store.rows, {})

    def test_lost_history(self) -> None:
        """A feed from a discarded version raises an error."""
        self.store.oldest_version = 5
        with self.assertRaises(HistoryLostError):
            self._run(lambda client: PlatformTargetList(client).changes(1, 0))

    def test_list(self) -> None:
        """An entry is read as an instance, even beside a malformed one."""
        self.store.put('servers', '', 'i1', dict(_ENTRY))
        self.store.put('servers', '', 'i2', {'service': 3})
        snapshot = self._run(
            lambda client: PlatformTargetList(client).snapshot()
        )
        self.assertEqual(list(snapshot.items), ['i1'])
        instance = snapshot.items['i1']
        self.assertTrue(instance.leaving)
        self.assertEqual(instance.fabric_domain, 'east-d0')
        self.assertIs(instance.phase_in('g', 7), MemberPhase.OPEN)
        self.assertIsNone(instance.phase_in('g', 6))

    def test_list_changes(self) -> None:
        """Deleted entries are reported as ``None``."""
        self.store.put('servers', '', 'i1', dict(_ENTRY))
        since = self.store.version
        self.store.drop('servers', '', 'i1')
        changes = self._run(
            lambda client: PlatformTargetList(client).changes(since, 1)
        )
        self.assertEqual(changes.items, {'i1': None})

    def test_own_rows(self) -> None:
        """Committed rows are read again under the same keys."""
        put = Transaction((), (Put('t/p/k', 'v'),))
        self._commit(put)
        snapshot = self._run(
            lambda client: PlatformRowSource(client, 't', ('p',)).snapshot(),
        )
        self.assertEqual(snapshot.items['t/p/k'].value, 'v')

    def test_configuration(self) -> None:
        """Routes, keys and limits are decoded and converted."""
        self.store.put('op', '', 'config', dict(_CONFIG))
        snapshot = self._run(
            lambda client: PlatformConfigSource(client).snapshot()
        )
        config = snapshot.items['config']
        assert isinstance(config, RouteConfig)
        route = config.route('A.example:80', '/x/z')
        assert route is not None
        self.assertEqual(route.name, 'r1')
        self.assertEqual(route.timeout_seconds, 8)
        self.assertTrue(route.is_idempotent)
        unsafe = config.route('a.example', '/x/y/z')
        assert unsafe is not None
        self.assertFalse(unsafe.is_idempotent)
        self.assertIsNone(config.route('a.example', '/other'))
        holder = config.holder('k2')
        assert holder is not None
        self.assertEqual(holder.name, 't')
        self.assertIsNone(config.holder('k3'))
        self.assertEqual(config.limits.body_bytes, 100)

    def test_unreadable_configuration(self) -> None:
        """A malformed configuration raises an error of the platform."""
        self.store.put('op', '', 'config', {'version': 'seven'})
        with self.assertRaises(PlatformUnavailableError):
            self._run(lambda client: PlatformConfigSource(client).snapshot())

    def _commit(self, transaction: Transaction) -> int:
        return self._run(
            lambda client: PlatformTable(client).commit(transaction)
        )

    def _run(
        self,
        call: Callable[[StoreClient], Awaitable[Result]],
    ) -> Result:
        result: Result = curio.run(self._call_with_client, call)
        return result

    async def _call_with_client(
        self,
        call: Callable[[StoreClient], Awaitable[Result]],
    ) -> Result:
        task, address = await start(self.store)
        try:
            return await call(StoreClient(address))
        finally:
            await task.cancel()

    async def _commit_with_checks(self, client: StoreClient) -> None:
        table = PlatformTable(client)
        version = await table.commit(
            Transaction((Check('t/p/k', 0),), (Put('t/p/k', 'one'),)),
        )
        with self.assertRaises(WriteConflictError):
            await table.commit(
                Transaction((Check('t/p/k', 0),), (Put('t/p/k', 'two'),)),
            )
        rows = await table.read_keys(['t/p/k', 't/p/none'])
        self.assertEqual(rows['t/p/k'].value, 'one')
        self.assertEqual(rows['t/p/k'].version, version)
        await table.commit(
            Transaction((Check('t/p/k', version),), (), ('t/p/k',)),
        )
        self.assertEqual(await table.read_keys(['t/p/k']), {})


class UnreachableStoreTest(unittest.TestCase):
    """A store that cannot be reached."""

    def test_commit_without_connection(self) -> None:
        """If the connection is refused, nothing was written."""
        client = StoreClient(Address('127.0.0.1', 1))
        put = Transaction((), (Put('t/p/k', 'v'),))
        with self.assertRaises(PlatformUnavailableError):
            curio.run(PlatformTable(client).commit, put)


class LateAnswerTest(unittest.TestCase):
    """An answer of the store that belongs to an earlier request."""

    def test_commit_answer_taken_for_empty_part(self) -> None:
        """It raises an error, as an empty part would delete all its rows."""
        with self.assertRaises(PlatformUnavailableError):
            curio.run(_read_after_late_answer, b'{"schemaVersion":9,"nowMs":1}')

    def test_rows_of_another_table_taken(self) -> None:
        """Rows of another table are not taken for the requested ones."""
        with self.assertRaises(PlatformUnavailableError):
            curio.run(
                _read_after_late_answer,
                b'{"schemaVersion":9,"rows":[{"keyFile":"k","tableName":"u"}]}',
            )


async def _read_after_late_answer(late_answer: bytes) -> None:
    """Read a part on a connection that returns the answer to another call."""
    listener = curio.io.Socket(socket.create_server(('127.0.0.1', 0)))
    store = StoreClient(Address(*listener.getsockname()[:2]))
    serving = await curio.spawn(_send_late_answer, listener, late_answer)
    try:
        await store.commit({})
        await store.read_part('t', 'p')
    finally:
        await serving.cancel()


async def _send_late_answer(
    listener: curio.io.Socket, late_answer: bytes
) -> None:
    commit_answer = b'{"schemaVersion":9,"nowMs":1}'
    async with listener:
        sock, _ = await listener.accept()
        async with sock:
            await sock.recv(65536)
            await sock.sendall(_answer(commit_answer))
            await sock.recv(65536)
            await sock.sendall(_answer(late_answer))
            await curio.sleep(5)


def _answer(body: bytes) -> bytes:
    return b'HTTP/1.1 200 X\r\ncontent-length: %d\r\n\r\n%b' % (len(body), body)
