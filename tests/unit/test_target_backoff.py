"""A target that asks a node for rest gets none of its requests meanwhile.

Seven heads of replicas turned all requests away and asked for three seconds of rest
each; single nodes sent them up to six in that time, as what turns everything away
looks free ('load' 0 in 'routed' lines 1.3 to 2.3 s after the answer). Their clients
were told to come back after 0.2 s each time. A refusal was one failure, three of
which in a row put a target aside for a second, and where none was in good standing
all were asked; nothing read the time that was asked for. Now a rest is this node's
own, by life, a gate before every choice, and looked at once more before sending.
"""

import functools
import unittest
from collections.abc import Collection, Sequence

import curio

from tests.lib.fake_targets import ClientAnswer
from tests.lib.throttling_targets import ThrottlingDeployment, Words

_REST_SECONDS = 3.0
_ASKED_AT = 0.5
_SERVES_AGAIN_AT = 4.0
# The rule: what comes half a second after the answer or later, two at most.
_FROM_SECONDS = 0.5
_MOST = 2
_PLAY_SECONDS = 6.0
_A_SECOND = 120
# Clients wait three seconds, and heed a third of what they have left.
_HEEDED_SECONDS = 0.95


def _rest(names: Collection[str], name: str, now: float) -> Words:
    if name in names and _ASKED_AT <= now < _SERVES_AGAIN_AT:
        return Words(f'retry-after: {_REST_SECONDS}\r\n', refuses=True)
    return Words()


_ALL = tuple(map('i{}'.format, range(10)))


class RestTest(unittest.TestCase):
    """Four nodes before ten targets, 120 requests a second."""

    answers: Sequence[ClientAnswer]

    def test_some_targets(self) -> None:
        """Two of ten rest, and the others serve all.

        A route allows two targets; at each node one request may meet both before
        it knows of either.
        """
        deployment = self._play(('i0', 'i1'))
        most = deployment.most_in_rest(_REST_SECONDS, _FROM_SECONDS)
        self.assertLessEqual(most, _MOST)
        refused = deployment.not_served(self.answers)
        self.assertLessEqual(len(refused), len(deployment.nodes))

    def test_all_targets(self) -> None:
        """All rest: nobody is asked, and clients are told for how long."""
        deployment = self._play(_ALL)
        most = deployment.most_in_rest(_REST_SECONDS, _FROM_SECONDS)
        self.assertLessEqual(most, _MOST)
        refused = deployment.not_served(self.answers)
        self.assertEqual({one.status for one in refused}, {503})
        # Each node asks each target once, and knows then that all rest; those
        # of the first second, while every rest goes on for two.
        early = refused[len(deployment.nodes) * len(_ALL) : _A_SECOND]
        told = [float(one.headers['retry-after']) for one in early]
        self.assertGreater(min(told), _HEEDED_SECONDS)

    def _play(self, names: Collection[str]) -> ThrottlingDeployment:
        says = functools.partial(_rest, names)
        deployment = ThrottlingDeployment(4, 10, says)
        curio.run(deployment.run, self._ask)
        return deployment

    async def _ask(self, deployment: ThrottlingDeployment) -> None:
        self.answers = await deployment.ask(_PLAY_SECONDS, _A_SECOND)
