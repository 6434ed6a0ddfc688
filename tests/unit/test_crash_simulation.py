"""No request is held for being at terminating targets by chance."""

import statistics
import unittest
from typing import Any

from tests.lib.crash_simulation import CrashSimulation

_DAYS = 8
_MAX_TERMINATIONS = 6


class CrashSimulationTest(unittest.TestCase):
    """For more days, run ``python -m tests.lib.crash_simulation 1000``."""

    def test_without_a_culprit(self) -> None:
        """One of 100 targets fails each second, or one of 8 each 2.5 s."""
        for replicas, rate in ((100, 1.0), (8, 0.4)):
            for seed in range(_DAYS // 2):
                with self.subTest(replicas=replicas, seed=seed):
                    day = CrashSimulation(
                        replicas, seed, rate, has_culprit=False
                    ).run()
                    self.assertEqual(day.wrongly_held, 0)

    def test_terminations_reported_late(self) -> None:
        """No request is wrongly held, with or without a culprit."""
        self._check_days(reported_late=True)

    def test_abandoned_attempts(self) -> None:
        """Those at targets that terminate later are held no more often."""
        self._check_days(abandoned_fraction=0.3)

    def test_with_a_culprit(self) -> None:
        """It is held after a few terminations, and no other request is."""
        days = [
            CrashSimulation(8, seed, 0.4, has_culprit=True).run()
            for seed in range(_DAYS)
        ]
        terminations = [day.culprit_terminations for day in days]
        self.assertLessEqual(statistics.median(terminations), 5)
        self.assertLessEqual(max(terminations), _MAX_TERMINATIONS)
        self.assertEqual(sum(day.wrongly_held for day in days), 0)
        self.assertTrue(all(day.refused_culprit for day in days))

    def _check_days(self, **options: Any) -> None:
        """Check drawn days, every other one with a culprit."""
        for seed in range(_DAYS):
            with self.subTest(seed=seed):
                day = CrashSimulation(
                    8, seed, 0.4, has_culprit=bool(seed % 2), **options
                ).run()
                self.assertEqual(day.wrongly_held, 0)


if __name__ == '__main__':
    unittest.main()
