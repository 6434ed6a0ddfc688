"""The adapter's store client against a stand-in of the wire."""

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
from cranecart.platform import (
    PlatformConfigSource,
    PlatformRowSource,
    PlatformTable,
    PlatformTargetList,
    StoreClient,
)
from cranecart.ports import Check, MemberPhase, Put, Transaction
from tests.platform._standin import StandinStore, start

Answer = TypeVar('Answer')

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


class StoreTest(unittest.TestCase):
    """What the product's ports say of the platform's answers."""

    def setUp(self) -> None:
        """Start with an empty store."""
        self.store = StandinStore()

    def test_transactions(self) -> None:
        """A check that fails changes nothing; one that holds does."""
        curio.run(self._with_client, self._transactions)

    def test_pages(self) -> None:
        """A part over several pages is read whole."""
        self.store.page_rows = 3
        for number in range(8):
            self.store.put('t', 'p', f'k{number}', number)
        rows = self._run(lambda one: PlatformTable(one).read_prefix('t/p/'))
        self.assertEqual(len(rows), 8)

    def test_a_lost_answer_is_unknown(self) -> None:
        """The write may have been done, and here it was."""
        self.store.faults.append('lost')
        put = Transaction((), (Put('t/p/k', 'v'),))
        with self.assertRaises(WriteUnknownError):
            self._commit(put)
        self.assertIn(('t', 'p', 'k'), self.store.rows)

    def test_refusals_did_nothing(self) -> None:
        """A 429 or 503 says that nothing was done."""
        put = Transaction((), (Put('t/p/k', 'v'),))
        for status in (429, 503):
            self.store.faults.append(status)
            with self.assertRaises(PlatformUnavailableError):
                self._commit(put)
        self.assertEqual(self.store.rows, {})

    def test_history_gone(self) -> None:
        """A feed from before the history's start says so."""
        self.store.oldest_version = 5
        with self.assertRaises(HistoryLostError):
            self._run(lambda one: PlatformTargetList(one).changes(1, 0))

    def test_list(self) -> None:
        """An entry becomes an instance, also one with a strange neighbour."""
        self.store.put('servers', '', 'i1', dict(_ENTRY))
        self.store.put('servers', '', 'i2', {'service': 3})
        found = self._run(lambda one: PlatformTargetList(one).snapshot())
        self.assertEqual(list(found.items), ['i1'])
        instance = found.items['i1']
        self.assertTrue(instance.leaving)
        self.assertEqual(instance.fabric_domain, 'east-d0')
        self.assertIs(instance.phase_in('g', 7), MemberPhase.OPEN)
        self.assertIsNone(instance.phase_in('g', 6))

    def test_list_changes(self) -> None:
        """Entries that went come without an instance."""
        self.store.put('servers', '', 'i1', dict(_ENTRY))
        since = self.store.version
        self.store.drop('servers', '', 'i1')
        found = self._run(lambda one: PlatformTargetList(one).changes(since, 1))
        self.assertEqual(found.items, {'i1': None})

    def test_own_rows(self) -> None:
        """The product's tables are followed by the keys it wrote."""
        put = Transaction((), (Put('t/p/k', 'v'),))
        self._commit(put)
        found = self._run(
            lambda one: PlatformRowSource(one, 't', ('p',)).snapshot(),
        )
        self.assertEqual(found.items['t/p/k'].value, 'v')

    def test_configuration(self) -> None:
        """Routes, keys and limits come in the product's units."""
        self.store.put('op', '', 'config', dict(_CONFIG))
        found = self._run(lambda one: PlatformConfigSource(one).snapshot())
        config = found.items['config']
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

    def test_an_unreadable_configuration_changes_nothing(self) -> None:
        """It is an error of the platform's, told as one."""
        self.store.put('op', '', 'config', {'version': 'seven'})
        with self.assertRaises(PlatformUnavailableError):
            self._run(lambda one: PlatformConfigSource(one).snapshot())

    def _commit(self, transaction: Transaction) -> int:
        return self._run(lambda one: PlatformTable(one).commit(transaction))

    def _run(
        self,
        call: Callable[[StoreClient], Awaitable[Answer]],
    ) -> Answer:
        answer: Answer = curio.run(self._with_client, call)
        return answer

    async def _with_client(
        self,
        call: Callable[[StoreClient], Awaitable[Answer]],
    ) -> Answer:
        task, address = await start(self.store)
        try:
            return await call(StoreClient(address))
        finally:
            await task.cancel()

    async def _transactions(self, client: StoreClient) -> None:
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


class AwayTest(unittest.TestCase):
    """A store that cannot be reached at all."""

    def test_nothing_was_written(self) -> None:
        """A write that found no listener is known not to be done."""
        client = StoreClient(Address('127.0.0.1', 1))
        put = Transaction((), (Put('t/p/k', 'v'),))
        with self.assertRaises(PlatformUnavailableError):
            curio.run(PlatformTable(client).commit, put)


class AnsweredLateTest(unittest.TestCase):
    """An answer of the store that belongs to an earlier question."""

    def test_a_writes_answer_is_no_empty_part(self) -> None:
        """A part without rows would end all that is known of it."""
        with self.assertRaises(PlatformUnavailableError):
            curio.run(_read_behind, b'{"schemaVersion":9,"nowMs":1}')

    def test_rows_of_another_table(self) -> None:
        """They are not taken for those that were asked for."""
        with self.assertRaises(PlatformUnavailableError):
            curio.run(
                _read_behind,
                b'{"schemaVersion":9,"rows":[{"keyFile":"k","tableName":"u"}]}',
            )


async def _read_behind(late: bytes) -> None:
    """Read a part on a connection that still owes an answer."""
    listener = curio.io.Socket(socket.create_server(('127.0.0.1', 0)))
    store = StoreClient(Address(*listener.getsockname()[:2]))
    serving = await curio.spawn(_answer_late, listener, late)
    try:
        await store.commit({})
        await store.read_part('t', 'p')
    finally:
        await serving.cancel()


async def _answer_late(listener: curio.io.Socket, late: bytes) -> None:
    written = b'{"schemaVersion":9,"nowMs":1}'
    async with listener:
        sock, _ = await listener.accept()
        async with sock:
            await sock.recv(65536)
            await sock.sendall(_answer(written))
            await sock.recv(65536)
            await sock.sendall(_answer(late))
            await curio.sleep(5)


def _answer(body: bytes) -> bytes:
    return b'HTTP/1.1 200 X\r\ncontent-length: %d\r\n\r\n%b' % (len(body), body)
