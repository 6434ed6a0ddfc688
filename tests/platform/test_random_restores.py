"""Random store restores among changes, node failures and partitions."""

import unittest

import curio

from tests.lib.random_restores import RandomRestores

_SEEDS = (1, 2, 3)


class RandomRestoresTest(unittest.TestCase):
    """Nodes apply acknowledged writes in time and never regress."""

    def test_three_nodes(self) -> None:
        """Three nodes, of which two may be killed or partitioned."""
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(curio.run(RandomRestores(seed).run), [])

    def test_nine_nodes(self) -> None:
        """Nine nodes, of which several read and share updates."""
        self.assertEqual(curio.run(RandomRestores(4, 9).run), [])
