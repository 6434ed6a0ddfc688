"""Request statistics before and after metrics are read for the first time."""

from unittest import TestCase, mock

from cranecart.fleet import Fleet
from cranecart.http import Request, Response
from cranecart.models import Evacuation
from cranecart.serving._active_config import ActiveRouteConfig
from cranecart.serving._endpoints import MetricsEndpoint, RequestStatistics
from tests.lib.synchronous import run_synchronously


class EvacuatedMetricTest(TestCase):
    """Operators see which failure domains a node treats as evacuated."""

    def test_active_and_ended(self) -> None:
        """The metric is 1 for an evacuated domain and 0 for an ended one."""
        fleet = Fleet()
        fleet.evacuations.merge(
            [Evacuation('east', 1, True), Evacuation('west', 2, False)], 'n1'
        )
        sent: list[Response] = []
        responder = mock.Mock()
        responder.send = mock.AsyncMock(side_effect=sent.append)
        endpoint = MetricsEndpoint(
            RequestStatistics(), dict, fleet, ActiveRouteConfig()
        )
        run_synchronously(
            endpoint.handle(Request('GET', '/metrics'), responder)
        )
        text = sent[0].body.decode()
        self.assertIn('cranecart_evacuated{failure_domain="east"} 1', text)
        self.assertIn('cranecart_evacuated{failure_domain="west"} 0', text)


class RequestStatisticsTest(TestCase):
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
