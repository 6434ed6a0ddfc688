"""Request statistics before and after metrics are read for the first time."""

import unittest

from cranecart.serving._endpoints import RequestStatistics


class RequestStatisticsTest(unittest.TestCase):
    """The first read of metrics loses nothing and counts nothing twice."""

    def setUp(self) -> None:
        """Record some requests before metrics are read."""
        self.statistics = RequestStatistics()
        for _request in range(3):
            self.statistics.observe_request('answered', 0.25)
        self.statistics.observe_request('no_replica', None)

    def test_first_read(self) -> None:
        """It includes all requests before it."""
        text = self.statistics.metrics().text().decode()
        self.assertIn('cranecart_requests{outcome="answered"} 3', text)
        self.assertIn('cranecart_requests{outcome="no_replica"} 1', text)
        self.assertIn('cranecart_first_token_ms_count{} 3', text)
        self.assertIn('cranecart_first_token_ms_sum{} 750', text)

    def test_later_reads(self) -> None:
        """They include the requests since the first one."""
        self.statistics.metrics()
        self.statistics.observe_request('answered', 0.25)
        text = self.statistics.metrics().text().decode()
        self.assertIn('cranecart_requests{outcome="answered"} 4', text)
        self.assertIn('cranecart_first_token_ms_count{} 4', text)
