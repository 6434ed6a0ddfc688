"""A request that ends targets is held also where their ports still answer.

Something before a target (a proxy, a supervisor's listener) goes on taking
connections after it has ended, so that a refused connection never told of the end:
80 targets ended under one request that came seven times a second for twelve seconds
to four nodes, 124 sends of it later than three seconds after the third end, and 281
of 426 requests beside it were served. A port that answers said nothing, and what
said nothing was forgotten. A break is kept with its life for some seconds now, and
counts from when it broke once the list shows another life, or none.
"""

import unittest

import curio

from tests.lib.crashing_targets import CRASH_MARK, Deployment, ask_in_turn
from tests.lib.fake_targets import PLAIN, ClientAnswer

# The rule: all know within so long of the third end, but for so many sends.
_KNOWN_SECONDS = 3.0
_MOST_LATER = 3
_PLAY_SECONDS = 6.0
_LEAST_SERVED = 0.8
_OK = 200


class KeptPortTest(unittest.TestCase):
    """Four nodes before ten targets."""

    others: list[ClientAnswer]

    def test_streams(self) -> None:
        """The list tells of the end later, as of another instance."""
        self._check(Deployment(4, 10, keeps_port=True))

    def test_plain_calls(self) -> None:
        """Or as of another life under the same id."""
        self._check(
            Deployment(4, 10, keeps_port=True, service=PLAIN, renamed=False),
        )

    def _check(self, deployment: Deployment) -> None:
        curio.run(deployment.run, self._play)
        later = deployment.marked_after(3, _KNOWN_SECONDS)
        self.assertLessEqual(later, _MOST_LATER)
        served = sum(one.is_whole and one.status == _OK for one in self.others)
        self.assertGreater(served, _LEAST_SERVED * len(self.others))
        self.assertFalse(any(b'"held"' in one.body for one in self.others))

    async def _play(self, deployment: Deployment) -> None:
        path = '/safe/x' if deployment.is_plain else '/stream/x'
        beside = await curio.spawn(self._ask_others, deployment, path)
        await ask_in_turn(
            deployment.nodes,
            path,
            CRASH_MARK,
            seconds=_PLAY_SECONDS,
            per_second=7,
        )
        self.others = await beside.join()

    async def _ask_others(
        self,
        deployment: Deployment,
        path: str,
    ) -> list[ClientAnswer]:
        """Ask for other things, so that no two tries are the same request."""
        answers: list[ClientAnswer] = []
        for turn in range(int(_PLAY_SECONDS)):
            asked = await ask_in_turn(
                deployment.nodes,
                path,
                f'ordinary {turn}'.encode(),
                seconds=1,
                per_second=40,
            )
            answers.extend(asked)
        return answers
