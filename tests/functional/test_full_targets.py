"""Requests of nearly full targets are not lost for want of another slot.

A stream of a target that was silent for a second was closed before another
target had accepted it; the other one was full, so that the stream ended midway.
"""

import tempfile
import unittest
from pathlib import Path

import curio

from tests.lib.full_target_cases import Action, Case, Step, first
from tests.lib.full_target_deployment import Deployment, Outcome

_SILENT_SECONDS = 1.2
_SILENT = Case(
    targets=6,
    slots=11,
    clients=60,
    steps=(Step(1, Action.PAUSE_TARGETS, first(0.5, 6), _SILENT_SECONDS),),
)
_KILLED = Case(
    targets=6,
    slots=8,
    clients=44,
    steps=(Step(1, Action.KILL_TARGETS, first(0.17, 6)),),
)
_LEFT = Case(
    targets=6,
    slots=11,
    clients=60,
    steps=(
        Step(1, Action.PAUSE_TARGETS, first(0.5, 6), _SILENT_SECONDS),
        # While nodes look for other targets.
        Step(1.35, Action.LEAVE, range(0, 60, 2)),
    ),
)
_PLAIN = Case(targets=6, slots=10, clients=56, is_plain=True, objective_ms=1500)


class FullTargetsTest(unittest.TestCase):
    """Two nodes and targets of which a tenth of the slots is free."""

    def test_streams_cut_where_other_targets_are_full(self) -> None:
        """Their targets fall silent, and go on before there is a free slot."""
        for case in (_SILENT, _LEFT):
            with self.subTest(steps=case.steps):
                self._check(case)

    def test_streams_of_killed_targets_cut_for_a_full_one(self) -> None:
        """Slots come free long before the deadline of the streams."""
        self._check(_KILLED)

    def test_plain_calls_lost_where_other_targets_are_full(self) -> None:
        """Nothing is wrong; the calls take longer than half their objective."""
        self._check(_PLAIN)

    def _check(self, case: Case) -> None:
        with tempfile.TemporaryDirectory() as folder:
            outcome: Outcome = curio.run(Deployment(case, Path(folder)).run)
        self.assertEqual(outcome.violations(case), [], outcome)
        self.assertEqual(outcome.whole, case.clients - outcome.left)
