"""Drawn troubles of nearly full targets cut no stream that has begun."""

import unittest

from tests.lib.nodes_before_full_targets import (
    TroubleCase,
    TroubledNodes,
    TroubleResult,
)

_SEEDS = range(5)
_ATTEMPTS = 2
_NOT_RUN = 503
_RETRY_RATIO = 1 / 500


class DrawnSilencesTest(unittest.TestCase):
    """One to four nodes before targets that fall silent, or die."""

    def test_streams_cut_in_drawn_troubles(self) -> None:
        """None is, and no event is missing or sent twice."""
        for seed in _SEEDS:
            case = TroubleCase.draw(seed)
            with self.subTest(seed=seed, case=case):
                self.check(case, TroubledNodes(case).run())

    def check(self, case: TroubleCase, result: TroubleResult) -> None:
        """Check what clients got and targets saw."""
        self.assertEqual((result.cut, result.mixed), (0, 0))
        if not case.die:
            # First tries of several nodes may meet at one target.
            self.assertLessEqual(result.refused.keys(), {_NOT_RUN})
        self.assertLessEqual(result.limits.most_at_once, _ATTEMPTS)
        allowed = case.retries * (1 + case.streams * _RETRY_RATIO)
        self.assertLessEqual(result.limits.repeated_arrivals, allowed)
        self.assertFalse(+result.left_in_flight)
