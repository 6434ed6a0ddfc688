"""Tests of the measurement of demand."""

import unittest

from cranecart.demand import DemandMeter


class DemandTest(unittest.TestCase):
    """Tests with a simulated clock."""

    def setUp(self) -> None:
        """Start the clock at zero."""
        self.now = float(0)
        self.meter = DemandMeter(lambda: self.now)

    def test_demand_is_proportional_to_work(self) -> None:
        """Twice the work per request gives about twice the demand."""
        for model, seconds in (('long', 1.2), ('short', 0.6)):
            self._request(model, 200)
            for _index in range(200):
                self.meter.record_work(model, seconds)
        self.now = 2
        demand = self.meter.by_model()
        self.assertAlmostEqual(demand['long'] / demand['short'], 2, delta=0.1)

    def test_refused_requests_count(self) -> None:
        """A model whose requests are all refused still has demand."""
        self._request('refused', 150)
        self._request('rare', 25)
        self.now = 2
        demand = self.meter.by_model()
        self.assertGreater(demand['refused'], 5 * demand['rare'])

    def test_old_requests_decay(self) -> None:
        """Demand decays after traffic shifts to another model."""
        self._request('before', 600)
        self.now = 60
        self._request('now', 200)
        demand = self.meter.by_model()
        self.assertGreater(demand['now'], 5 * demand['before'])

    def test_steady_demand_in_replicas(self) -> None:
        """The estimate does not depend on the time since the first request."""
        for tenth in range(1, 400):
            self.now = tenth / 10
            self._request('steady', 1)
            self.meter.record_work('steady', 0.3)
            if tenth > 30:
                replicas = self.meter.by_model()['steady']
                self.assertAlmostEqual(replicas, 3, delta=0.3)

    def test_no_estimate_right_after_the_start(self) -> None:
        """A rate cannot be estimated from the first second of requests."""
        self._request('first', 5)
        self.assertEqual(self.meter.by_model(), {})

    def _request(self, model: str, count: int) -> None:
        for _index in range(count):
            self.meter.record_request(model)
