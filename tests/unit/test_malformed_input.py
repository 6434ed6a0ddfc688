"""Malformed input is reported, and ends neither a call nor a task."""

import tempfile
import unittest
from pathlib import Path

from cranecart.client_api._request_parsing import _deadline_seconds
from cranecart.declarations import LimitsSpec, OrganisationSpec
from cranecart.documents import FindingsError, read_document
from cranecart.exceptions import InvalidRequestError, OverLimitError
from cranecart.limits._rates import TokenRateLimiter


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


if __name__ == '__main__':
    unittest.main()
