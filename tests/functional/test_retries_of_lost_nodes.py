"""Nodes that are killed, stopped and suspended retry within the budget."""

import tempfile
import unittest
from pathlib import Path

import curio

from tests.lib.full_target_cases import ATTEMPTS
from tests.lib.full_target_deployment import Deployment
from tests.lib.full_target_rows import draw_budget_case

_SEEDS = (3, 8, 33)


class RetriesOfLostNodesTest(unittest.TestCase):
    """Targets fall silent all the time, with few retries for all nodes."""

    def test_shares_of_lost_nodes_are_used_again(self) -> None:
        """Arrivals beyond the first stay within the sum over all nodes."""
        for seed in _SEEDS:
            case = draw_budget_case(seed)
            with (
                self.subTest(seed=seed),
                tempfile.TemporaryDirectory() as folder,
            ):
                outcome = curio.run(Deployment(case, Path(folder)).run)
                self.assertLessEqual(outcome.most_repeated, case.slack)
                self.assertLessEqual(outcome.most_targets, ATTEMPTS)
                self.assertEqual(outcome.overtime, [])
                self.assertGreater(outcome.repeated, 0)
