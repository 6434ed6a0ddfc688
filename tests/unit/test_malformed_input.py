"""Malformed input is reported, and ends neither a call nor a task."""

import unittest

from cranecart.client_api._request_parsing import _deadline_seconds
from cranecart.exceptions import InvalidRequestError

_DAY = 86400


class MalformedInputTest(unittest.TestCase):
    """One test for each source of input."""

    def test_deadline_of_thousands_of_digits(self) -> None:
        """The error names the allowed values, not all of the digits."""
        with self.assertRaises(InvalidRequestError) as caught:
            _deadline_seconds({'x-deadline-ms': '9' * 5000})
        self.assertLess(len(str(caught.exception)), 200)


if __name__ == '__main__':
    unittest.main()
