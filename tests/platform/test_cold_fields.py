"""What the platform says of cold targets."""

import json
import unittest

import curio

from cranecart.http import ResponseHead
from cranecart.models import ColdStart
from cranecart.platform import (
    PlatformCallTranslator,
    PlatformConfigSource,
    PlatformTargetList,
)
from cranecart.throttling import ColdRule
from tests.platform._fixed_rows import FixedRowsClient


class ColdFieldsTest(unittest.TestCase):
    """Services, list entries and answers with and without the fields."""

    def test_services(self) -> None:
        """Without a rate, or with 0, targets of a service are never cold."""
        services = [
            {'name': 'a', 'coldStartS': 2.5, 'coldPerS': 14},
            {'name': 'b', 'coldPerS': 0, 'coldStartS': 3},
            {'name': 'c'},
        ]
        row = json.dumps({'version': 1, 'services': services}).encode()
        source = PlatformConfigSource(FixedRowsClient({'config': row}))
        config = curio.run(source.snapshot).items['config']
        self.assertEqual(
            list(map(config.cold_start, 'abcd')),
            [ColdStart(2.5, 14), None, None, None],
        )

    def test_excessive_values_of_services(self) -> None:
        """Shares of the rate can be computed, and targets become warm."""
        service = {'name': 'a', 'coldStartS': 1e300, 'coldPerS': 1e308}
        row = json.dumps({'version': 1, 'services': [service]}).encode()
        source = PlatformConfigSource(FixedRowsClient({'config': row}))
        config = curio.run(source.snapshot).items['config']
        cold = config.cold_start('a')
        self.assertEqual(cold.seconds, 300)
        self.assertGreater(ColdRule().max_nodes(cold.per_second), 0)

    def test_entries(self) -> None:
        """Milliseconds, or nothing told; a wrong value does not last for good."""
        told = {'a': 1500, 'b': 0, 'c': None, 'd': -1, 'e': 1e12}
        rows = {
            name: json.dumps(
                {
                    'address': '10.0.0.1:80',
                    'service': 's',
                    'zone': 'east',
                    'state': 'ready',
                    'coldRemainingMs': milliseconds,
                }
            ).encode()
            for name, milliseconds in told.items()
        }
        source = PlatformTargetList(FixedRowsClient(rows))
        entries = curio.run(source.snapshot).items
        seconds = [entries[name].cold_seconds for name in told]
        self.assertEqual(seconds, [1.5, 0, None, 0, 300])

    def test_answers(self) -> None:
        """A header that is not a decimal number is only logged."""
        for text, seconds, unreadable in (
            ('1250', 1.25, ()),
            ('0', 0, ()),
            ('-1', None, ('cold-ms: -1',)),
            ('soon', None, ('cold-ms: soon',)),
        ):
            info = PlatformCallTranslator().read_response(
                ResponseHead(200, {'cold-ms': text})
            )
            with self.subTest(text=text):
                self.assertEqual(info.cold_seconds, seconds)
                self.assertEqual(info.unreadable, unreadable)
