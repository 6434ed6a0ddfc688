"""Targets end by the dozen: nobody is held who was there by chance."""

import statistics
import unittest

from tests.lib.crash_simulation import CrashSimulation

_DAYS = 8
_MOST_ENDS = 6


class HailTest(unittest.TestCase):
    """Drawn days; a thousand of them by ``python -m tests.lib.crash_simulation 1000``."""

    def test_without_a_cause(self) -> None:
        """A target ends each second of a hundred, or each 2.5 s of eight."""
        for replicas, rate in ((100, 1.0), (8, 0.4)):
            for seed in range(_DAYS // 2):
                with self.subTest(replicas=replicas, seed=seed):
                    day = CrashSimulation(
                        replicas, seed, rate, has_cause=False
                    ).play()
                    self.assertEqual(day.held_by_chance, 0)

    def test_ends_that_show_late(self) -> None:
        """Nobody is held who was there by chance, beside a cause or not."""
        for seed in range(_DAYS):
            with self.subTest(seed=seed):
                day = CrashSimulation(
                    8,
                    seed,
                    0.4,
                    has_cause=bool(seed % 2),
                    tells_late=True,
                ).play()
                self.assertEqual(day.held_by_chance, 0)

    def test_with_a_cause(self) -> None:
        """It is held after a few ends, and nobody with it."""
        days = [
            CrashSimulation(8, seed, 0.4, has_cause=True).play()
            for seed in range(_DAYS)
        ]
        ends = [day.cause_ends for day in days]
        self.assertLessEqual(statistics.median(ends), 5)
        self.assertLessEqual(max(ends), _MOST_ENDS)
        self.assertEqual(sum(day.held_by_chance for day in days), 0)
        self.assertTrue(all(day.refused_cause for day in days))


if __name__ == '__main__':
    unittest.main()
