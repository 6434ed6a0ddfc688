"""Rows that other writers have written: no reader ends, and the others hold.

The store's tables have other writers. An entry with a state that is not on the
users' pages counted as ready, so that requests went to it; a row of replicas, of
nodes or of a lease that was no text of this project's ended the whole process,
on every node that read it, as often as it started again.
"""

import copy
import json
import unittest
from typing import Any
from unittest.mock import patch

import curio
from hypothesis import given
from hypothesis import strategies as st

from cranecart.exceptions import PlatformError, PlatformUnavailableError
from cranecart.fleet import Fleet, ReplicaRecord, record_from_row
from cranecart.leases import Lease
from cranecart.logs import UnreadableRows
from cranecart.platform import (
    PlatformConfigSource,
    PlatformRowSource,
    PlatformTable,
    PlatformTargetList,
    StoreClient,
)
from cranecart.ports import Changes, ListedInstance, Put, Row, Transaction
from cranecart.serving._node_registration import peers_from_rows
from tests.platform._fixed_rows import FixedRowsClient
from tests.platform._standin import StandinStore, start
from tests.platform.test_numeric_fields import _CONFIG, _ENTRY

_JUNK = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=6,
)
_BYTES = st.binary(max_size=40) | _JUNK.map(
    lambda value: json.dumps(value).encode(),
)
_NEEDED = ('service', 'zone', 'state', 'address')
_USED_STATES = frozenset(('ready', 'draining'))
_DEEP = b'[' * 100000


def _entries(value: bytes) -> dict[str, ListedInstance | None]:
    """Read an entry of another writer beside a sound one, both ways."""
    good = json.dumps(dict(_ENTRY)).encode()
    source = PlatformTargetList(FixedRowsClient({'i1': value, 'i2': good}))
    whole = curio.run(source.snapshot).items
    changes: Changes[ListedInstance] = curio.run(source.changes, 1, 0)
    assert whole.get('i1') == changes.items['i1']
    return dict(changes.items)


def _changed(field: str, value: object) -> bytes:
    return json.dumps({**_ENTRY, field: value}).encode()


class ListEntriesTest(unittest.TestCase):
    """Entries of the list."""

    @given(_BYTES)
    def test_any_bytes(self, value: bytes) -> None:
        """They name no instance, and the next entry holds."""
        found = _entries(value)
        self.assertIsNone(found['i1'])
        self.assertIsNotNone(found['i2'])

    @given(st.sampled_from(sorted({*_ENTRY, 'born', 'group'})), _JUNK)
    def test_any_value_of_a_field(self, field: str, value: object) -> None:
        """Whatever it is, it is read or it is not; the next entry holds."""
        self.assertIsNotNone(_entries(_changed(field, value))['i2'])

    @given(st.text(max_size=12).filter(lambda one: one not in _USED_STATES))
    def test_unnamed_states(self, state: str) -> None:
        """No request may go to an instance that does not say it is ready."""
        self.assertIsNone(_entries(_changed('state', state))['i1'])

    def test_missing_fields(self) -> None:
        """Without these it can't be told what an instance is, or where."""
        for field in _NEEDED:
            entry = {key: one for key, one in _ENTRY.items() if key != field}
            found = _entries(json.dumps(entry).encode())
            self.assertIsNone(found['i1'], field)
            self.assertIsNone(_entries(_changed(field, None))['i1'], field)

    def test_odd_addresses(self) -> None:
        """Only numbers that can be connected to."""
        for text in ('a.example:80', '10.0.0.1:0', '10.0.0.1:70000', ':80'):
            self.assertIsNone(_entries(_changed('address', text))['i1'], text)

    def test_too_deep(self) -> None:
        """Whatever nests without an end."""
        self.assertIsNone(_entries(_DEEP)['i1'])

    def test_births(self) -> None:
        """Each start of an instance tells its own, as a whole number."""
        found = _entries(_changed('born', 1764720000123))['i1']
        assert found is not None
        self.assertEqual(found.born, 1764720000123)
        odds: tuple[object, ...] = ('soon', [], {})
        for odd in odds:
            self.assertIsNone(_entries(_changed('born', odd))['i1'])

    def test_one_line_a_change(self) -> None:
        """A row that is told again and again is logged once."""
        source = PlatformTargetList(FixedRowsClient({'i1': b'{'}))
        with patch('cranecart.logs._unreadable.decision') as told:
            for _turn in range(5):
                curio.run(source.changes, 1, 0)
        self.assertEqual(told.call_count, 1)

    def test_no_storm_of_lines(self) -> None:
        """What many rows say within a second is counted."""
        rows = UnreadableRows('odd', lambda: 7.5)
        with patch('cranecart.logs._unreadable.decision') as told:
            for number in range(1000):
                rows.note(f'row {number}', 'it is no JSON')
        self.assertLessEqual(told.call_count, 5)

    def test_a_replica_beside_them(self) -> None:
        """Followed from a store, the sound instances serve on."""
        fleet = Fleet()
        curio.run(_follow_odd_entries, fleet)
        self.assertEqual(set(fleet.instances), {'i1'})


async def _follow_odd_entries(fleet: Fleet) -> None:
    store = StandinStore()
    task, address = await start(store)
    source = PlatformTargetList(StoreClient(address))
    store.put('servers', '', 'i1', dict(_ENTRY))
    store.put('servers', '', 'odd', {**_ENTRY, 'state': 'resting'})
    snapshot = await source.snapshot()
    fleet.apply_instances(snapshot.items, True)
    store.put('servers', '', 'odd', [1, 2])
    store.put('servers', '', 'later', {**_ENTRY, 'slots': 'many'})
    changes = await source.changes(snapshot.version, 1)
    fleet.apply_instances(changes.items, False)
    await task.cancel()


class OwnRowsTest(unittest.TestCase):
    """Rows where this project keeps its own."""

    @given(_BYTES)
    def test_records(self, value: bytes) -> None:
        """Replicas that can be read hold; the others are none."""
        good = ReplicaRecord('r-1', 1, 's', 'm', 'east', 'e-0', ('i1',))
        rows = {
            'replica/east/r-1': good.encoded().encode(),
            'replica/east/odd': value,
        }
        client = FixedRowsClient(rows)
        source = PlatformRowSource(client, 'placement', ('all',))
        read = curio.run(source.snapshot).items
        found = {key: record_from_row(row) for key, row in read.items()}
        self.assertIsNone(found['placement/all/replica/east/odd'])
        self.assertIsNotNone(found['placement/all/replica/east/r-1'])

    def test_a_record_under_another_key(self) -> None:
        """It would stand for a replica that nobody could end."""
        good = ReplicaRecord('r-1', 1, 's', 'm', 'east', 'e-0', ('i1',))
        row = Row('placement/all/replica/east/r-2', 3, good.encoded())
        self.assertIsNone(record_from_row(row))

    @given(_BYTES)
    def test_nodes(self, value: bytes) -> None:
        """What is known of a node stays, and others are read."""
        text = value.decode(errors='replace')
        good = '{"address":"10.0.0.1:7340","failure_domain":"east"}'
        found = peers_from_rows(
            {
                'placement/all/node/odd': Row(
                    'placement/all/node/odd', 3, text
                ),
                'placement/all/node/n': Row('placement/all/node/n', 3, good),
                'placement/all/node/gone': None,
            },
        )
        self.assertEqual(set(found), {'n', 'gone'})

    @given(_BYTES)
    def test_a_lease(self, value: bytes) -> None:
        """It is waited for like any other, and taken with a higher number."""
        client = FixedRowsClient({'east': value})
        lease = Lease('all/east', 'n', PlatformTable(client))
        with self.assertRaises(PlatformError):
            curio.run(_keep_until_it_writes, lease, client)
        self.assertEqual(lease.holder, '?')

    def test_the_number_after_a_lease_that_was_spoilt(self) -> None:
        """It rises above every one that was used: the row's version does."""
        numbers = curio.run(_take_a_spoilt_lease)
        self.assertGreater(numbers[1], numbers[0])


async def _keep_until_it_writes(lease: Lease, client: FixedRowsClient) -> None:
    """Look at a lease; raise where it isn't waited for."""
    await lease.acquire_or_renew()
    if lease.is_held:
        raise AssertionError('it was taken at once')
    client.written = {}
    raise PlatformUnavailableError('the test ends here')


async def _take_a_spoilt_lease() -> tuple[int, int]:
    store = StandinStore()
    task, address = await start(store)
    now = [100.0]
    table = PlatformTable(StoreClient(address))
    first = Lease('all/east', 'one', table, clock=lambda: now[0])
    await first.acquire_or_renew()
    store.put('lease', 'all', 'east', 'not a lease')
    second = Lease('all/east', 'two', table, clock=lambda: now[0])
    await second.acquire_or_renew()
    now[0] += 60
    await second.acquire_or_renew()
    await table.commit(Transaction((second.check(),), (Put('t/p/k', 'v'),)))
    await task.cancel()
    return first.fencing, second.fencing


class ConfigurationTest(unittest.TestCase):
    """The operator's row."""

    @given(_BYTES)
    def test_any_bytes(self, value: bytes) -> None:
        """It is an error of the platform's, or a configuration."""
        source = PlatformConfigSource(FixedRowsClient({'config': value}))
        try:
            curio.run(source.snapshot)
        except PlatformUnavailableError:
            return
        self.assertIn(b'version', value)

    @given(st.sampled_from(sorted(_CONFIG)), _JUNK)
    def test_any_value_of_a_field(self, field: str, value: object) -> None:
        """Whatever it is, no other error comes of it."""
        changed: dict[str, Any] = copy.deepcopy(dict(_CONFIG))
        changed[field] = value
        row = json.dumps(changed).encode()
        source = PlatformConfigSource(FixedRowsClient({'config': row}))
        try:
            curio.run(source.snapshot)
        except PlatformUnavailableError as error:
            self.assertIn('cannot be read', str(error))
