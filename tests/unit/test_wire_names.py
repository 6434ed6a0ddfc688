"""Test that names of the platform's protocol are used only in its adapter."""

import re
import unittest
from pathlib import Path

import cranecart

_ROOT = Path(cranecart.__file__).parent
_ADAPTER = _ROOT / 'platform'
# Names of the native protocol begin with x-.
_NAMES = re.compile(
    r'(?<!x-)\b('
    'replica-signature|replica-id|not-executed|expect-replica|expect-version'
    '|token-usage|prefix-hash|deadline-ms|length-hint|weight-versions'
    '|request-priority|at-server|last-event-id'
    '|schemaVersion|expectedRevision|keyFile|tableName|sinceRevision'
    '|putCount|rows-tx|rows-get|rows-feed|rows-parts|blob-put|blob-get'
    '|coldRemainingMs|fencingToken|pathPrefix|sloMs|gapTargetMs|apiKeys'
    '|cachedPrefixes|loadsPerS|warmupS'
    r')\b',
    re.IGNORECASE,
)


class WireNamesTest(unittest.TestCase):
    """Tests that search the sources."""

    def test_only_in_the_adapter(self) -> None:
        """Code outside of the adapter uses the ports instead."""
        occurrences = [
            f'{file.relative_to(_ROOT)}: {match.group()}'
            for file in sorted(_ROOT.rglob('*.py'))
            if _ADAPTER not in file.parents
            for match in _NAMES.finditer(file.read_text('utf-8'))
        ]
        self.assertEqual(occurrences, [])

    def test_names_are_found_in_the_adapter(self) -> None:
        """The search finds names where they are expected."""
        texts = [file.read_text('utf-8') for file in _ADAPTER.glob('*.py')]
        self.assertGreater(len(_NAMES.findall('\n'.join(texts))), 20)
