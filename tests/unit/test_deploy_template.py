"""Tests that nodes start with all values that a platform may give.

They guard against a failure in which no node started: every process exited
with ``retry_slack: invalid value for type, expected int``, as the platform gave
a fraction and the settings accepted integers only. The template had similar
faults: a value that a deployment does not set was rendered as null, and seconds
were converted to milliseconds by appending three zeros, so that 2.5 s would have
been read as 2.5 ms.
"""

import tempfile
import unittest
from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType

import attrs
import msgspec
from hypothesis import given
from hypothesis import strategies as st

import cranecart
from cranecart.cli import main
from cranecart.documents import FindingsError
from cranecart.exit_codes import ExitCode
from cranecart.models import ClientLimits
from cranecart.serving._factories import server_limits
from cranecart.settings import ServingSettings
from tests.lib.settings_template import render

_ROOT = Path(cranecart.__file__).parent.parent.parent
_TEMPLATE = _ROOT / 'deploy' / 'node.json'
_MISSING = object()

# Names of the platform's values by settings field.
_FIGURES = MappingProxyType(
    {
        'retry_ratio': 'retryBudgetRatio',
        'retry_slack': 'budgetSlack',
        'retry_window_seconds': 'retryWindowS',
        'stall_ms': 'stallMs',
        'stop_grace_seconds': 'graceS',
        'cold_overshoot': 'coldOvershoot',
        'cold_slack': 'coldSlack',
    },
)
_NUMBERS = st.one_of(
    st.integers(0, 100000),
    st.floats(0, 100000, allow_nan=False),
)
_DRAWN = st.one_of(_NUMBERS, st.none(), st.just(_MISSING))
_ZONES = st.dictionaries(
    st.text('abcdefgh-', min_size=1, max_size=6),
    st.just('a-region'),
    max_size=8,
)


def _fields(
    bounds: Mapping[str, object],
    **changes: object,
) -> dict[str, object]:
    fields = {
        'nodeName': 'a-node',
        'ip': '10.1.0.9',
        'zone': 'here',
        'zones': {'here': 'a-region', 'there': 'a-region'},
        'listen': {'frontend': '10.1.0.9:81', 'ready': '10.1.0.9:82'},
        'internalPortRange': [7020, 7035],
        'bootstrap': True,
        'platform': {'address': '10.200.1.7:80'},
        'bounds': _named(bounds),
        **changes,
    }
    return _named(fields)


def _named(fields: Mapping[str, object]) -> dict[str, object]:
    return {
        name: field for name, field in fields.items() if field is not _MISSING
    }


class TemplateTest(unittest.TestCase):
    """Tests of the settings that the template renders."""

    def setUp(self) -> None:
        """Create a folder for the file."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / 'node.json'

    @given(
        bounds=st.fixed_dictionaries(
            {name: _DRAWN for name in _FIGURES.values()},
        ),
    )
    def test_numbers(self, bounds: Mapping[str, object]) -> None:
        """Each value is taken unchanged, or its default if it is not given."""
        settings = attrs.asdict(self._read(_fields(bounds)))
        defaults = {
            attribute.name: attribute.default
            for attribute in attrs.fields(ServingSettings)
        }
        for field, name in _FIGURES.items():
            expected = bounds[name]
            if expected is None or expected is _MISSING:
                expected = defaults[field]
            self.assertEqual(settings[field], expected, field)

    @given(zones=st.one_of(_ZONES, st.none(), st.just(_MISSING)))
    def test_failure_domains(self, zones: object) -> None:
        """All given ones are included, and the node's own in any case."""
        domains = self._read(_fields({}, zones=zones)).all_failure_domains
        expected = set(zones) if isinstance(zones, Mapping) else set()
        self.assertEqual(set(domains), expected | {'here'})
        self.assertEqual(len(set(domains)), len(domains))

    @given(named=_DRAWN)
    def test_descriptors(self, named: object) -> None:
        """The machine's limit is used, or the default if it is not given."""
        settings = self._read(_fields({}, limits=_named({'maxFds': named})))
        if named is None or named is _MISSING:
            named = attrs.fields(ServingSettings).max_descriptors.default
        self.assertEqual(settings.max_descriptors, named)

    @given(
        named=_DRAWN,
        features=st.sampled_from(
            (_MISSING, None, [], ['drain'], ['drain', 'pressure'])
        ),
    )
    def test_memory(self, named: object, features: object) -> None:
        """Unread responses are bounded only where the platform asks for it.

        Guards earlier deployments against socket options that they never had.
        """
        settings = self._read(
            _fields(
                {},
                limits=_named({'memoryMb': named}),
                **_named({'contracts': features}),
            )
        )
        is_given = named is not None and named is not _MISSING
        self.assertEqual(settings.memory_mb, named if is_given else 0)
        limits = server_limits(settings, ClientLimits())
        is_bounded = bool(settings.memory_mb) and features == [
            'drain',
            'pressure',
        ]
        self.assertEqual(limits.unread_bytes is not None, is_bounded)

    def test_first_start(self) -> None:
        """It is true only if the platform gives true."""
        for bootstrap, expected in (
            (True, True),
            (False, False),
            (None, False),
        ):
            settings = self._read(_fields({}, bootstrap=bootstrap))
            self.assertIs(settings.first_start, expected)
        settings = self._read(_fields({}, bootstrap=_MISSING))
        self.assertIs(settings.first_start, False)

    def test_invalid_value_is_named(self) -> None:
        """The message names the field and the value."""
        for field, name in _FIGURES.items():
            for wrong in (True, 'many', -1):
                with self.assertRaises(FindingsError) as caught:
                    self._read(_fields({name: wrong}))
                message = str(caught.exception)
                self.assertIn(field, message)
                self.assertIn(str(wrong), message)

    def test_missing_name_or_address(self) -> None:
        """The error names the missing field."""
        gaps = (
            ('nodeName', 'node_id'),
            ('zone', 'failure_domain'),
            ('listen', 'client_address'),
            ('internalPortRange', 'peer_address'),
            ('platform', 'platform_address'),
        )
        for gap, field in gaps:
            with self.assertRaisesRegex(FindingsError, field):
                self._read(_fields({}, **{gap: _MISSING}))

    def test_the_command_names_the_field(self) -> None:
        """A process that cannot start exits with the documented code."""
        self._write(_fields({'graceS': 'many'}))
        code = main(['serve', str(self.file)])
        self.assertEqual(code, ExitCode.INVALID_DECLARATION)

    def _read(self, fields: Mapping[str, object]) -> ServingSettings:
        self._write(fields)
        return ServingSettings.from_file(self.file)

    def _write(self, fields: Mapping[str, object]) -> None:
        self.file.write_text(render(_TEMPLATE.read_text('utf-8'), fields))


class RenderTest(unittest.TestCase):
    """Tests that the renderer behaves like the platform's."""

    def test_values_and_sections(self) -> None:
        """Sections are rendered for zero, but not for null or missing values."""
        fields = {'b': {'zero': 0, 'no': False, 'part': 2.5}, 'null': None}
        for template, expected in (
            ('[{{b.none|json}}]', '[null]'),
            ('[{{b.none}}]', '[]'),
            ('[{{null|json}}]', '[null]'),
            ('[{{#b.zero}}{{.|json}}{{/b.zero}}]', '[0]'),
            ('[{{#b.no}}x{{/b.no}}{{^b.no}}y{{/b.no}}]', '[y]'),
            ('[{{#null}}x{{/null}}]', '[]'),
            ('{{b.part|json}}000', '2.5000'),
            ('[{{#b}}"{{@}}"{{,}}{{/b}}]', '["zero","no","part"]'),
        ):
            self.assertEqual(render(template, fields), expected)
        whole = msgspec.json.decode(render('{{b|json}}', fields))
        self.assertEqual(whole, fields['b'])
