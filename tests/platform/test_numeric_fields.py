"""Numbers from the platform may be integers, fractions, null or missing.

The settings of a deployment contained fractions where they had always been
integers, and every process exited with ``retry_slack: invalid value for type,
expected int``. The configuration and the instance list had the same fault: one
fraction or null made the complete configuration unreadable, and a node without
a configuration serves no requests.
"""

import copy
import json
import unittest
from collections.abc import Iterator, Sequence
from types import MappingProxyType
from typing import Any

import curio
from hypothesis import given
from hypothesis import strategies as st

from cranecart.models import RouteConfig
from cranecart.platform import (
    PlatformConfigSource,
    PlatformTargetList,
)
from cranecart.ports import ListedInstance
from tests.platform._fixed_rows import FixedRowsClient

Path = tuple[str | int, ...]

_MISSING = object()
_ROUTE = MappingProxyType(
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
)
_RUNTIME = MappingProxyType(
    {
        'slots': 15,
        'kvCapacity': 795000,
        'kvTokenBytes': 655360,
        'linkMbps': 400000.0,
        'stride': 7,
        'models': [
            {
                'name': 'm1',
                'size': 16,
                'share': 0.5,
                'pace': 1.0,
                'loadS': 16.0,
                'warmupS': 1.6,
            },
        ],
        'step_ms': 5.95,
        'per_seq_ms': 0.089,
        'context_per_k': 0.01626,
        'read_per_s': 50700.0,
        'pairs_per_m': 0.368,
        'chunk': 2048,
        'report_lag_ms': 200.0,
        'loadsPerS': 18.0,
        'loads_at_once': 27,
        'usual': {'prompt': 850, 'answer': 204},
        'cachedPrefixes': 1,
        'far_x': 2.5,
        'formMs': 300.0,
    },
)
_CONFIG = MappingProxyType(
    {
        'version': 7,
        'routes': [
            dict(_ROUTE),
            {**_ROUTE, 'name': 'r2', 'pathPrefix': '/y/'},
        ],
        'services': [
            {
                'name': 's1',
                'maxConnections': 590,
                'runtime': dict(_RUNTIME),
                'coldStartS': 3,
                'coldPerS': 14,
            },
            {'name': 's2', 'maxConnections': 420},
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': 't', 'apiKeys': ['k1'], 'priority': 1}],
    },
)
_ENTRY = MappingProxyType(
    {
        'service': 's1',
        'address': '10.0.0.1:80',
        'zone': 'east',
        'version': 'v1',
        'slots': 13,
        'state': 'ready',
        'coldRemainingMs': 0,
        'sequence': 4,
        'phase': 'unified',
        'models': [{'name': 'm', 'version': 1, 'loras': []}],
        'domain': 'east-d0',
        'staged': ['m'],
    },
)
# Required in both; without them nothing is decoded.
_ALWAYS_REQUIRED = frozenset((('version',), ('address',)))


_REQUIRED_ENTRY_FIELDS = frozenset((('service',), ('zone',), ('state',)))


def _read_config(value: object) -> RouteConfig:
    source = PlatformConfigSource(
        FixedRowsClient({'config': json.dumps(value).encode()})
    )
    config: RouteConfig = curio.run(source.snapshot).items['config']
    return config


def _read_entry(value: object) -> ListedInstance | None:
    source = PlatformTargetList(
        FixedRowsClient({'i1': json.dumps(value).encode()})
    )
    instance: ListedInstance | None = curio.run(source.snapshot).items.get('i1')
    return instance


def _field_paths(container: Any, path: Path = ()) -> Iterator[Path]:
    """Yield the paths of all fields of an object and its nested objects."""
    entries = (
        container.items()
        if isinstance(container, dict)
        else enumerate(container)
    )
    for key, child in entries:
        if isinstance(container, dict) and (*path, key) not in _ALWAYS_REQUIRED:
            yield (*path, key)
        if isinstance(child, dict | list):
            yield from _field_paths(child, (*path, key))


def _value_at(container: Any, path: Path) -> Any:
    for key in path:
        container = container[key]
    return container


def _with_value(base: Any, path: Path, value: object) -> dict[str, Any]:
    changed: dict[str, Any] = copy.deepcopy(dict(base))
    parent = _value_at(changed, path[:-1])
    if value is _MISSING:
        parent.pop(path[-1])
    else:
        parent[path[-1]] = value
    return changed


def _number_paths(base: Any) -> Sequence[Path]:
    return [
        path
        for path in _field_paths(dict(base))
        if isinstance(_value_at(base, path), int | float)
        and not isinstance(_value_at(base, path), bool)
    ]


_NUMBERS = st.one_of(
    st.integers(0, 1000000),
    st.floats(0, 1000000, allow_nan=False),
)


class ConfigurationNumbersTest(unittest.TestCase):
    """Numbers in the operator's configuration."""

    @given(path=st.sampled_from(_number_paths(_CONFIG)), number=_NUMBERS)
    def test_integers_and_fractions_are_accepted(
        self, path: Path, number: float
    ) -> None:
        """Any number is accepted, and all other fields are still read."""
        self._check(_read_config(_with_value(_CONFIG, path, number)))

    @given(path=st.sampled_from(list(_field_paths(dict(_CONFIG)))))
    def test_null_equals_missing(self, path: Path) -> None:
        """A field that is null is read like a missing one."""
        missing = _read_config(_with_value(_CONFIG, path, _MISSING))
        null = _read_config(_with_value(_CONFIG, path, None))
        self.assertEqual(missing, null)

    @given(path=st.sampled_from(list(_field_paths(dict(_CONFIG)))))
    def test_unknown_fields_are_ignored(self, path: Path) -> None:
        """Unknown fields are ignored at any level."""
        later_path = (*path[:-1], 'aLaterField')
        config_with_field = _read_config(
            _with_value(_CONFIG, later_path, {'x': [1.5, None]})
        )
        self.assertEqual(config_with_field, _read_config(dict(_CONFIG)))

    def test_fractions_are_rounded_down(self) -> None:
        """Fractions of countable things are rounded down."""
        config = _read_config(
            {
                **_CONFIG,
                'routes': [
                    {
                        **_ROUTE,
                        'timeoutMs': 2500.5,
                        'sloMs': 202.5,
                        'gapTargetMs': 99.5,
                        'attempts': 2.5,
                        'priority': 1.5,
                        'split': [{'service': 's1', 'weight': 2.5}],
                    },
                ],
                'services': [
                    {
                        'name': 's1',
                        'runtime': {
                            **_RUNTIME,
                            'slots': 13.5,
                            'loads_at_once': 2.7,
                            'loadsPerS': 0.5,
                            'cachedPrefixes': 0.5,
                            'stride': 6.5,
                            'formMs': 300.5,
                        },
                    },
                ],
                'limits': {'maxBodyBytes': 100.5, 'idleTimeoutMs': 1500.5},
            },
        )
        route = config.routes[0]
        self.assertEqual(route.timeout_seconds, 2.5005)
        self.assertEqual(route.objective_seconds, 0.2025)
        self.assertEqual(route.pause_seconds, 0.0995)
        self.assertEqual((route.attempts, route.rank), (2, 1))
        self.assertEqual(route.shares[0].weight, 2.5)
        engine = config.engine('s1')
        assert engine is not None
        self.assertEqual((engine.slots, engine.loads_at_once), (13, 2))
        self.assertEqual(engine.loads_per_second, 0.5)
        self.assertEqual(engine.staged_models, 0)
        self.assertEqual(engine.timing.steps_a_pass, 6.5)
        self.assertEqual(engine.open_seconds, 0.3005)
        self.assertEqual(config.limits.body_bytes, 100)
        self.assertEqual(config.limits.idle_seconds, 1.5005)

    def test_zeros_keep_costs_finite(self) -> None:
        """Numbers that are zero cause no division by zero in costs."""
        for name in ('slots', 'stride', 'read_per_s', 'chunk'):
            path = ('services', 0, 'runtime', name)
            engine = _read_config(_with_value(_CONFIG, path, 0)).engine('s1')
            assert engine is not None
            work = engine.timing.work_seconds(10, 1000, engine.slots)
            self.assertGreater(work, 0)
            self.assertLess(work, 1)

    def test_route_without_objective(self) -> None:
        """The timeout is used as the objective."""
        path = ('routes', 0, 'sloMs')
        route = _read_config(_with_value(_CONFIG, path, _MISSING)).routes[0]
        self.assertEqual(route.objective_seconds, route.timeout_seconds)

    def test_route_without_timeout(self) -> None:
        """A default timeout is used."""
        path = ('routes', 0, 'timeoutMs')
        route = _read_config(_with_value(_CONFIG, path, _MISSING)).routes[0]
        self.assertGreater(route.timeout_seconds, 10)
        self.assertLess(route.timeout_seconds, float('inf'))

    def test_route_without_type(self) -> None:
        """The requests are not assumed to be idempotent."""
        path = ('routes', 0, 'type')
        route = _read_config(_with_value(_CONFIG, path, _MISSING)).routes[0]
        self.assertFalse(route.is_idempotent)

    def _check(self, config: RouteConfig) -> None:
        self.assertEqual([route.name for route in config.routes], ['r1', 'r2'])
        self.assertEqual(set(config.services), {'s1', 's2'})
        engine = config.engine('s1')
        assert engine is not None
        model = engine.model('m1')
        assert model is not None
        integers = (engine.slots, engine.loads_at_once, model.size)
        for number in (*integers, config.routes[0].attempts):
            self.assertIsInstance(number, int)
            self.assertGreaterEqual(number, 1)
        self.assertIsNotNone(config.holder('k1'))


class ListEntryNumbersTest(unittest.TestCase):
    """Numbers in entries of the instance list."""

    @given(path=st.sampled_from(_number_paths(_ENTRY)), number=_NUMBERS)
    def test_integers_and_fractions_are_accepted(
        self, path: Path, number: float
    ) -> None:
        """Any number is accepted, and the instance stays listed."""
        instance = _read_entry(_with_value(_ENTRY, path, number))
        assert instance is not None
        self.assertIsInstance(instance.slots, int)
        self.assertGreaterEqual(instance.slots, 1)

    @given(path=st.sampled_from(list(_field_paths(dict(_ENTRY)))))
    def test_null_equals_missing(self, path: Path) -> None:
        """Fields that are null are treated as missing.

        The instance stays listed, unless its service, state or zone is missing:
        then it must not be.
        """
        missing = _read_entry(_with_value(_ENTRY, path, _MISSING))
        null = _read_entry(_with_value(_ENTRY, path, None))
        self.assertEqual(missing is None, path in _REQUIRED_ENTRY_FIELDS)
        self.assertEqual(missing, null)

    def test_null_group(self) -> None:
        """An instance with a null group belongs to no replica."""
        instance = _read_entry({**_ENTRY, 'group': None})
        assert instance is not None
        self.assertIsNone(instance.membership)
