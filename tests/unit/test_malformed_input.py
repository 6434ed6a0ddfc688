"""Malformed input is reported, and ends neither a call nor a task."""

import tempfile
import time
import unittest
from pathlib import Path

import curio

from cranecart.claims import Sweeper
from cranecart.client_api._request_parsing import _deadline_seconds
from cranecart.declarations import LimitsSpec, OrganisationSpec
from cranecart.documents import FindingsError, read_document
from cranecart.exceptions import InvalidRequestError, OverLimitError
from cranecart.leases import Lease
from cranecart.limits._rates import TokenRateLimiter
from cranecart.ports import Put, Transaction
from tests.lib.fake_platform import FakePlatform
from tests.lib.synchronous import run_synchronously

_DAY = 86400


class MalformedInputTest(unittest.TestCase):
    """One test for each source of input."""

    def test_deadline_of_thousands_of_digits(self) -> None:
        """The error names the allowed values, not all of the digits."""
        with self.assertRaises(InvalidRequestError) as caught:
            _deadline_seconds({'x-deadline-ms': '9' * 5000})
        self.assertLess(len(str(caught.exception)), 200)

    def test_scalars_that_are_not_json(self) -> None:
        """They are findings with their lines."""
        for text in ('1.', r'"\ud800"', '"\t"', '[true,\n1.]'):
            with self.subTest(text=text), tempfile.TemporaryDirectory() as name:
                file = Path(name) / 'settings.json'
                file.write_text(text, 'utf-8')
                with self.assertRaises(FindingsError) as caught:
                    read_document(file)
                self.assertEqual(
                    caught.exception.findings[0].line, 1 + text.count('\n')
                )

    def test_limit_of_zero_tokens(self) -> None:
        """It admits no call."""
        limiter = TokenRateLimiter(lambda _name: 1)
        limits = LimitsSpec(concurrent_requests=1, tokens_per_second=0)
        organisation = OrganisationSpec('o', (), limits)
        for _attempt in range(2):
            with self.assertRaises(OverLimitError):
                limiter.take(organisation, 10)


class UnreadableClaimTest(unittest.TestCase):
    """Rows of claims that cannot be decoded."""

    def setUp(self) -> None:
        """Create a sweeper that holds its lease."""
        self.platform = FakePlatform()
        self.now = time.time()
        lease = Lease('sweeper', 'n', self.platform)
        run_synchronously(lease.acquire_or_renew())
        self.sweeper = Sweeper(
            lease,
            self.platform,  # type: ignore[arg-type]
            lambda: self.now,
        )

    def test_claim(self) -> None:
        """It is kept, as it may have been made again; sweeping goes on."""
        made_at = int(self.now - _DAY - 120)
        index_key = f'claim-made/{made_at // 60:010}/claim/o/x'
        self._put('claim/o/x', '{')
        self._put(index_key, 'claim/o/x')
        self._sweep()
        self.assertIn('claim/o/x', self.platform.rows)
        self.assertNotIn(index_key, self.platform.rows)

    def test_cursor(self) -> None:
        """Sweeping starts anew."""
        self._put('claim-swept', 'x')
        self._sweep()
        int(self.platform.rows['claim-swept'].value)

    def _sweep(self) -> None:
        for _bucket in range(1500):
            if not curio.run(self.sweeper.sweep_next_bucket):
                return

    def _put(self, key: str, text: str) -> None:
        run_synchronously(
            self.platform.commit(Transaction((), (Put(key, text),)))
        )


if __name__ == '__main__':
    unittest.main()
