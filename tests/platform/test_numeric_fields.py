"""Figures that the platform names are whole numbers or fractions, or missing.

A deployment's own figures came as fractions where they had always been whole,
and every process ended with ``retry_slack: invalid value for type, expected
int``. What the operator declares and what instances tell of themselves was
read with the same narrowness: one fraction, or one figure given as null, made
a whole configuration unreadable, and a node without one answers nothing.
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
            {'name': 's1', 'maxConnections': 590, 'runtime': dict(_RUNTIME)},
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
# Without these an entry says nothing: which version, which instance, where.
_NEEDED = frozenset((('version',), ('address',)))


_NEEDED_OF_ENTRY = frozenset((('service',), ('zone',), ('state',)))


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
    found: ListedInstance | None = curio.run(source.snapshot).items.get('i1')
    return found


def _places(node: Any, path: Path = ()) -> Iterator[Path]:
    """Yield the paths of all fields of an object and of those inside it."""
    entries = node.items() if isinstance(node, dict) else enumerate(node)
    for key, inner in entries:
        if isinstance(node, dict) and (*path, key) not in _NEEDED:
            yield (*path, key)
        if isinstance(inner, dict | list):
            yield from _places(inner, (*path, key))


def _at(node: Any, path: Path) -> Any:
    for step in path:
        node = node[step]
    return node


def _changed(base: Any, path: Path, value: object) -> dict[str, Any]:
    changed: dict[str, Any] = copy.deepcopy(dict(base))
    parent = _at(changed, path[:-1])
    if value is _MISSING:
        parent.pop(path[-1])
    else:
        parent[path[-1]] = value
    return changed


def _numbers(base: Any) -> Sequence[Path]:
    return [
        path
        for path in _places(dict(base))
        if isinstance(_at(base, path), int | float)
        and not isinstance(_at(base, path), bool)
    ]


_FIGURES = st.one_of(
    st.integers(0, 1000000),
    st.floats(0, 1000000, allow_nan=False),
)


class ConfigurationFiguresTest(unittest.TestCase):
    """The operator's configuration."""

    @given(path=st.sampled_from(_numbers(_CONFIG)), figure=_FIGURES)
    def test_numbers(self, path: Path, figure: float) -> None:
        """Whole or not, a figure leaves everything else as it was."""
        self._check(_read_config(_changed(_CONFIG, path, figure)))

    @given(path=st.sampled_from(list(_places(dict(_CONFIG)))))
    def test_missing(self, path: Path) -> None:
        """What is null is read like what is not there."""
        missing = _read_config(_changed(_CONFIG, path, _MISSING))
        null = _read_config(_changed(_CONFIG, path, None))
        self.assertEqual(missing, null)

    @given(path=st.sampled_from(list(_places(dict(_CONFIG)))))
    def test_unknown(self, path: Path) -> None:
        """A field that is not known changes nothing, wherever it is."""
        place = (*path[:-1], 'aLaterField')
        later = _read_config(_changed(_CONFIG, place, {'x': [1.5, None]}))
        self.assertEqual(later, _read_config(dict(_CONFIG)))

    def test_parts_of_whole_things(self) -> None:
        """Where only whole ones can be counted, the part is left out."""
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

    def test_nothing_is_divided_by(self) -> None:
        """Figures of zero leave what a request costs a number."""
        for name in ('slots', 'stride', 'read_per_s', 'chunk'):
            path = ('services', 0, 'runtime', name)
            engine = _read_config(_changed(_CONFIG, path, 0)).engine('s1')
            assert engine is not None
            work = engine.timing.work_seconds(10, 1000, engine.slots)
            self.assertGreater(work, 0)
            self.assertLess(work, 1)

    def test_a_route_without_an_objective(self) -> None:
        """It is content with its whole time; nothing is hurried."""
        path = ('routes', 0, 'sloMs')
        route = _read_config(_changed(_CONFIG, path, _MISSING)).routes[0]
        self.assertEqual(route.objective_seconds, route.timeout_seconds)

    def test_a_route_without_a_time(self) -> None:
        """It is held to some time still."""
        path = ('routes', 0, 'timeoutMs')
        route = _read_config(_changed(_CONFIG, path, _MISSING)).routes[0]
        self.assertGreater(route.timeout_seconds, 10)
        self.assertLess(route.timeout_seconds, float('inf'))

    def test_a_route_without_a_type(self) -> None:
        """Nothing says that it may run twice, so that it does not."""
        path = ('routes', 0, 'type')
        route = _read_config(_changed(_CONFIG, path, _MISSING)).routes[0]
        self.assertFalse(route.is_idempotent)

    def _check(self, config: RouteConfig) -> None:
        self.assertEqual([one.name for one in config.routes], ['r1', 'r2'])
        self.assertEqual(set(config.services), {'s1', 's2'})
        engine = config.engine('s1')
        assert engine is not None
        model = engine.model('m1')
        assert model is not None
        whole = (engine.slots, engine.loads_at_once, model.size)
        for number in (*whole, config.routes[0].attempts):
            self.assertIsInstance(number, int)
            self.assertGreaterEqual(number, 1)
        self.assertIsNotNone(config.holder('k1'))


class ListFiguresTest(unittest.TestCase):
    """What an instance tells of itself."""

    @given(path=st.sampled_from(_numbers(_ENTRY)), figure=_FIGURES)
    def test_numbers(self, path: Path, figure: float) -> None:
        """Whole or not, the instance stays listed."""
        found = _read_entry(_changed(_ENTRY, path, figure))
        assert found is not None
        self.assertIsInstance(found.slots, int)
        self.assertGreaterEqual(found.slots, 1)

    @given(path=st.sampled_from(list(_places(dict(_ENTRY)))))
    def test_missing(self, path: Path) -> None:
        """What is null is read like what is not there.

        It stays listed, unless it can't be told any more what it is, whether
        it takes requests, or where: then it must not be.
        """
        missing = _read_entry(_changed(_ENTRY, path, _MISSING))
        null = _read_entry(_changed(_ENTRY, path, None))
        self.assertEqual(missing is None, path in _NEEDED_OF_ENTRY)
        self.assertEqual(missing, null)

    def test_no_group(self) -> None:
        """Null says that it belongs to none."""
        found = _read_entry({**_ENTRY, 'group': None})
        assert found is not None
        self.assertIsNone(found.membership)
