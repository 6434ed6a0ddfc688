"""What each model's requests want of the engines."""

import unittest

from cranecart.demand import DemandMeter


class DemandTest(unittest.TestCase):
    """A meter on a clock of the test's."""

    def setUp(self) -> None:
        """Start at zero."""
        self.now = float(0)
        self.meter = DemandMeter(lambda: self.now)

    def test_long_answers_weigh_more(self) -> None:
        """Twice the work a request is about twice the demand."""
        for model, seconds in (('long', 1.2), ('short', 0.6)):
            self._come(model, 200)
            for _request in range(200):
                self.meter.record_work(model, seconds)
        self.now = 2
        demand = self.meter.by_model()
        self.assertAlmostEqual(demand['long'] / demand['short'], 2, delta=0.1)

    def test_refused_requests_count(self) -> None:
        """A model that serves nothing is wanted all the same."""
        self._come('refused', 150)
        self._come('rare', 25)
        self.now = 2
        demand = self.meter.by_model()
        self.assertGreater(demand['refused'], 5 * demand['rare'])

    def test_old_requests_fade(self) -> None:
        """Traffic that moved to another model is forgotten."""
        self._come('before', 600)
        self.now = 60
        self._come('now', 200)
        demand = self.meter.by_model()
        self.assertGreater(demand['now'], 5 * demand['before'])

    def test_how_many_replicas_the_work_fills(self) -> None:
        """However long ago the first request came."""
        for tenth in range(1, 400):
            self.now = tenth / 10
            self._come('steady', 1)
            self.meter.record_work('steady', 0.3)
            if tenth > 30:
                found = self.meter.by_model()['steady']
                self.assertAlmostEqual(found, 3, delta=0.3)

    def test_nothing_is_told_from_a_moment(self) -> None:
        """The first requests of a node say nothing about their rate."""
        self._come('first', 5)
        self.assertEqual(self.meter.by_model(), {})

    def _come(self, model: str, count: int) -> None:
        for _request in range(count):
            self.meter.record_request(model)
