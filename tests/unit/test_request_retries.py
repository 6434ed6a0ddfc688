"""Retries of a request that are withdrawn and not used."""

import unittest
from unittest.mock import patch

from cranecart.retries import RequestRetries, RetryLimits, SharedRetryBudget
from tests.lib.fake_clock import FakeClock

_SERVICE = 's'


class RequestRetriesTest(unittest.TestCase):
    """One request, and a budget of ten retries within ten seconds."""

    def setUp(self) -> None:
        """Start with a full budget."""
        self.clock = FakeClock()
        patching = patch('cranecart.retries._request.since_boot', self.clock)
        patching.start()
        self.addCleanup(patching.stop)
        limits = RetryLimits(0, 10, 10)
        self.budget = SharedRetryBudget(limits, lambda: 1, self.clock)
        self.retries = RequestRetries(self.budget, _SERVICE)

    def test_unused_retry_used_after_its_window(self) -> None:
        """A retry that is kept too long is used again by another request."""
        self.assertTrue(self.retries.take())
        self.retries.restore()
        self.clock.now += 0.6
        self.assertTrue(self.retries.take())
        self.assertEqual(self._made(), 2)

    def test_unused_retry_withdrawn_twice(self) -> None:
        """One that is used soon was withdrawn before."""
        self.assertTrue(self.retries.take())
        self.retries.restore()
        self.clock.now += 0.2
        self.assertTrue(self.retries.is_available())
        self.assertTrue(self.retries.take())
        self.assertEqual(self._made(), 1)

    def test_retry_withdrawn_to_see_whether_there_is_one(self) -> None:
        """It would be missing elsewhere."""
        self.assertTrue(self.retries.is_available())
        self.assertEqual(self._made(), 0)

    def _made(self) -> int:
        return self.budget.counts()['retries']
