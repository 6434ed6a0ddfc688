"""Malformed rows must not stop a reader or affect other rows.

Other programs write to the store's tables too. An instance with an undocumented
state counted as ready and got requests. A malformed row of a replica, a node or
a lease stopped the process on every node that read it, again after each restart.
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
from cranecart.logs import UnreadableRowLog
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

_JSON_VALUES = st.recursive(
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
_ROW_VALUES = st.binary(max_size=40) | _JSON_VALUES.map(
    lambda value: json.dumps(value).encode(),
)
_REQUIRED_FIELDS = ('service', 'zone', 'state', 'address')
_KNOWN_STATES = frozenset(('ready', 'draining'))
_DEEPLY_NESTED = b'[' * 100000


def _read_entries(value: bytes) -> dict[str, ListedInstance | None]:
    """Read an entry and a valid one, in a snapshot and as changes."""
    valid = json.dumps(dict(_ENTRY)).encode()
    source = PlatformTargetList(FixedRowsClient({'i1': value, 'i2': valid}))
    snapshot = curio.run(source.snapshot).items
    changes: Changes[ListedInstance] = curio.run(source.changes, 1, 0)
    assert snapshot.get('i1') == changes.items['i1']
    return dict(changes.items)


def _entry_with(field: str, value: object) -> bytes:
    return json.dumps({**_ENTRY, field: value}).encode()


class MalformedListEntriesTest(unittest.TestCase):
    """Malformed entries of the instance list."""

    @given(_ROW_VALUES)
    def test_arbitrary_bytes(self, value: bytes) -> None:
        """They are skipped, and the next entry is read."""
        decoded = _read_entries(value)
        self.assertIsNone(decoded['i1'])
        self.assertIsNotNone(decoded['i2'])

    @given(st.sampled_from(sorted({*_ENTRY, 'born', 'group'})), _JSON_VALUES)
    def test_arbitrary_field_values(self, field: str, value: object) -> None:
        """Whether the entry is read or skipped, the next entry is read."""
        self.assertIsNotNone(_read_entries(_entry_with(field, value))['i2'])

    @given(
        st.text(max_size=12).filter(lambda state: state not in _KNOWN_STATES)
    )
    def test_unknown_states(self, state: str) -> None:
        """Instances in unknown states must not get requests."""
        self.assertIsNone(_read_entries(_entry_with('state', state))['i1'])

    def test_missing_fields(self) -> None:
        """Entries without a required field are skipped."""
        for field in _REQUIRED_FIELDS:
            entry = {
                key: value for key, value in _ENTRY.items() if key != field
            }
            decoded = _read_entries(json.dumps(entry).encode())
            self.assertIsNone(decoded['i1'], field)
            self.assertIsNone(
                _read_entries(_entry_with(field, None))['i1'], field
            )

    def test_invalid_addresses(self) -> None:
        """Only IP addresses with a valid port are accepted."""
        for text in ('a.example:80', '10.0.0.1:0', '10.0.0.1:70000', ':80'):
            self.assertIsNone(
                _read_entries(_entry_with('address', text))['i1'], text
            )

    def test_deep_nesting(self) -> None:
        """JSON too deep for the decoder is skipped."""
        self.assertIsNone(_read_entries(_DEEPLY_NESTED)['i1'])

    def test_birth_times(self) -> None:
        """The birth time is read as an integer; other types are rejected."""
        decoded = _read_entries(_entry_with('born', 1764720000123))['i1']
        assert decoded is not None
        self.assertEqual(decoded.born, 1764720000123)
        invalid_births: tuple[object, ...] = ('soon', [], {})
        for invalid_birth in invalid_births:
            self.assertIsNone(
                _read_entries(_entry_with('born', invalid_birth))['i1']
            )

    def test_row_is_logged_once(self) -> None:
        """A malformed row that is read repeatedly is logged once."""
        source = PlatformTargetList(FixedRowsClient({'i1': b'{'}))
        with patch('cranecart.logs._unreadable.log_decision') as log_decision:
            for _turn in range(5):
                curio.run(source.changes, 1, 0)
        self.assertEqual(log_decision.call_count, 1)

    def test_log_rate_is_limited(self) -> None:
        """Only a few of many malformed rows are logged per second."""
        rows = UnreadableRowLog('odd', lambda: 7.5)
        with patch('cranecart.logs._unreadable.log_decision') as log_decision:
            for number in range(1000):
                rows.report(f'row {number}', 'it is no JSON')
        self.assertLessEqual(log_decision.call_count, 5)

    def test_valid_entries_beside_malformed_ones(self) -> None:
        """Valid instances stay in the fleet."""
        fleet = Fleet()
        curio.run(_follow_malformed_entries, fleet)
        self.assertEqual(set(fleet.instances), {'i1'})


async def _follow_malformed_entries(fleet: Fleet) -> None:
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


class MalformedOwnRowsTest(unittest.TestCase):
    """Malformed rows among the nodes' own rows."""

    @given(_ROW_VALUES)
    def test_replica_records(self, value: bytes) -> None:
        """Malformed records are skipped, and valid ones are read."""
        valid = ReplicaRecord('r-1', 1, 's', 'm', 'east', 'e-0', ('i1',))
        rows = {
            'replica/east/r-1': valid.encoded().encode(),
            'replica/east/odd': value,
        }
        client = FixedRowsClient(rows)
        source = PlatformRowSource(client, 'placement', ('all',))
        read = curio.run(source.snapshot).items
        decoded = {key: record_from_row(row) for key, row in read.items()}
        self.assertIsNone(decoded['placement/all/replica/east/odd'])
        self.assertIsNotNone(decoded['placement/all/replica/east/r-1'])

    def test_record_under_another_key(self) -> None:
        """It is rejected, as its replica could never be removed."""
        valid = ReplicaRecord('r-1', 1, 's', 'm', 'east', 'e-0', ('i1',))
        row = Row('placement/all/replica/east/r-2', 3, valid.encoded())
        self.assertIsNone(record_from_row(row))

    @given(_ROW_VALUES)
    def test_node_rows(self, value: bytes) -> None:
        """Malformed rows change nothing, and other nodes are read."""
        text = value.decode(errors='replace')
        valid = '{"address":"10.0.0.1:7340","failure_domain":"east"}'
        decoded = peers_from_rows(
            {
                'placement/all/node/odd': Row(
                    'placement/all/node/odd', 3, text
                ),
                'placement/all/node/n': Row('placement/all/node/n', 3, valid),
                'placement/all/node/gone': None,
            },
        )
        self.assertEqual(set(decoded), {'n', 'gone'})

    @given(_ROW_VALUES)
    def test_lease_row(self, value: bytes) -> None:
        """A malformed lease is treated like a lease of another holder."""
        client = FixedRowsClient({'east': value})
        lease = Lease('all/east', 'n', PlatformTable(client))
        with self.assertRaises(PlatformError):
            curio.run(_wait_for_lease, lease, client)
        self.assertEqual(lease.holder, '?')

    def test_fencing_rises_after_an_overwritten_lease(self) -> None:
        """The fencing token still rises after a malformed value was written."""
        fencing_numbers = curio.run(_take_over_overwritten_lease)
        self.assertGreater(fencing_numbers[1], fencing_numbers[0])


async def _wait_for_lease(lease: Lease, client: FixedRowsClient) -> None:
    """Try to take a lease; raise ``AssertionError`` if it is taken at once."""
    await lease.acquire_or_renew()
    if lease.is_held:
        raise AssertionError(
            'the lease was taken at once, expected to wait for its timeout'
        )
    client.written = {}
    raise PlatformUnavailableError('the test ends here')


async def _take_over_overwritten_lease() -> tuple[int, int]:
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


class MalformedConfigurationTest(unittest.TestCase):
    """Malformed configurations."""

    @given(_ROW_VALUES)
    def test_arbitrary_bytes(self, value: bytes) -> None:
        """They are a configuration or raise ``PlatformUnavailableError``."""
        source = PlatformConfigSource(FixedRowsClient({'config': value}))
        try:
            curio.run(source.snapshot)
        except PlatformUnavailableError:
            return
        self.assertIn(b'version', value)

    @given(st.sampled_from(sorted(_CONFIG)), _JSON_VALUES)
    def test_arbitrary_field_values(self, field: str, value: object) -> None:
        """No value raises another error."""
        changed: dict[str, Any] = copy.deepcopy(dict(_CONFIG))
        changed[field] = value
        row = json.dumps(changed).encode()
        source = PlatformConfigSource(FixedRowsClient({'config': row}))
        try:
            curio.run(source.snapshot)
        except PlatformUnavailableError as error:
            self.assertIn('cannot be read', str(error))
