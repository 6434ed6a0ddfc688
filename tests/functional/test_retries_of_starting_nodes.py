"""Nodes that start, each with a share of the retries that others still use."""

import tempfile
import unittest
from pathlib import Path

import attrs
import curio

from tests.lib.starting_nodes import (
    Action,
    StartCase,
    StartingNodes,
    StartOutcome,
    Step,
)

_NODES = 6
_ALL = range(_NODES)
_SPACING_SECONDS = 0.4
_PLAY_SECONDS = 14.0
_SEEDS = (16, 40, 41)
# Until second processes have a share too.
_LONG_PLAY_SECONDS = 20.0
# When all nodes have had a share of their own for some time.
_SHARES_USED_AT = 9.0


class RetriesOfStartingNodesTest(unittest.TestCase):
    """Settings are written once, so that each start claims to be the first."""

    def test_nodes_divide_the_slack_by_those_started_so_far(self) -> None:
        """The first nodes see few others, and would take most of the slack."""
        self._check(
            StartCase(
                nodes=_NODES, spacing=_SPACING_SECONDS, seconds=_PLAY_SECONDS
            )
        )

    def test_restarted_nodes_take_the_share_of_their_predecessors(self) -> None:
        """Processes that were stopped or killed have used theirs just before."""
        for action in (Action.STOP, Action.KILL):
            with self.subTest(action=action):
                step = Step(_SHARES_USED_AT, action, _ALL)
                self._check(self._case(step))

    def test_processes_under_one_name_have_a_share_each(self) -> None:
        """A successor starts while its predecessor goes on."""
        step = Step(_SHARES_USED_AT, Action.DUPLICATE, _ALL)
        case = attrs.evolve(self._case(step), seconds=_LONG_PLAY_SECONDS)
        self._check(case)

    def test_drawn_starts_and_ends(self) -> None:
        """With restarts, second processes, and outages of the store."""
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                self._check(StartCase.draw(seed))

    def _case(self, *steps: Step) -> StartCase:
        return StartCase(
            nodes=_NODES, spacing=0, seconds=_PLAY_SECONDS, steps=steps
        )

    def _check(self, case: StartCase) -> None:
        outcome = _play(case)
        self.assertLessEqual(outcome.most_repeated, outcome.allowed)
        self.assertGreater(outcome.repeated, 0)


def _play(case: StartCase) -> StartOutcome:
    with tempfile.TemporaryDirectory() as folder:
        return curio.run(StartingNodes(case, Path(folder)).run)
