"""Returns of the store among changes, kills, starts and cuts."""

import unittest

import curio

from tests.lib.random_restores import RandomRestores

_SEEDS = (1, 2, 3)


class RandomRestoresTest(unittest.TestCase):
    """What was acknowledged holds in time, and nothing goes back."""

    def test_drawn_returns(self) -> None:
        """Three nodes, two of which may be killed or cut."""
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(curio.run(RandomRestores(seed).run), [])

    def test_nine_nodes(self) -> None:
        """The same with more that read and tell each other."""
        self.assertEqual(curio.run(RandomRestores(4, 9).run), [])
