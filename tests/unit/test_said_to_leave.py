"""A target that says in its answers that it leaves gets nothing new.

Four nodes sent two targets 187 requests later than two seconds after these had said
so: what a target says of itself was read by nothing, and only the platform's list
told of leaving targets.
"""

import unittest
from collections.abc import Sequence

import curio

from tests.lib.fake_targets import ClientAnswer
from tests.lib.speaking_targets import SpeakingDeployment, Words

_LEAVE_AT = 0.5
# The rule: nothing later than this after a node had such an answer.
_LEAVING_SECONDS = 2.0
_PLAY_SECONDS = 4.0
_A_SECOND = 120
_OK = 200


def _two_leave(name: str, now: float) -> Words:
    is_leaving = name in {'i0', 'i1'} and now >= _LEAVE_AT
    return Words('server-leaving: 1\r\n' if is_leaving else '')


class SaidToLeaveTest(unittest.TestCase):
    """Four nodes before ten targets, 120 requests a second."""

    answers: Sequence[ClientAnswer]

    def test_two_of_ten(self) -> None:
        """The others serve all."""
        deployment = SpeakingDeployment(4, 10, _two_leave)
        curio.run(deployment.run, self._ask)
        self.assertEqual(deployment.after_word(_LEAVING_SECONDS), 0)
        self.assertEqual({one.status for one in self.answers}, {_OK})

    async def _ask(self, deployment: SpeakingDeployment) -> None:
        self.answers = await deployment.ask(_PLAY_SECONDS, _A_SECOND)
