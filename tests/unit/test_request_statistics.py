"""What a node counts before and after somebody reads its metrics."""

import unittest

from cranecart.serving._endpoints import RequestStatistics


class RequestStatisticsTest(unittest.TestCase):
    """Nothing is lost or counted twice by the first reading."""

    def setUp(self) -> None:
        """Observe some requests; nobody has read yet."""
        self.statistics = RequestStatistics()
        for _request in range(3):
            self.statistics.observe_request('answered', 0.25)
        self.statistics.observe_request('no_replica', None)

    def test_first_reading(self) -> None:
        """It has all that came before."""
        told = self.statistics.metrics().text().decode()
        self.assertIn('cranecart_requests{outcome="answered"} 3', told)
        self.assertIn('cranecart_requests{outcome="no_replica"} 1', told)
        self.assertIn('cranecart_first_token_ms_count{} 3', told)
        self.assertIn('cranecart_first_token_ms_sum{} 750', told)

    def test_later_readings(self) -> None:
        """They add what came since."""
        self.statistics.metrics()
        self.statistics.observe_request('answered', 0.25)
        told = self.statistics.metrics().text().decode()
        self.assertIn('cranecart_requests{outcome="answered"} 4', told)
        self.assertIn('cranecart_first_token_ms_count{} 4', told)
