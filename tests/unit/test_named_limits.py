"""A target gets no more than it names, from all nodes together.

Two heads of replicas named limits of 1.6 and 1.4 requests a second in their
answers and went on getting 5 and 4 a second, from all nodes, as if they had said
nothing: 'servers' 7, 5, 6 and 5 in the seconds from the first answer on, and 23 in
four seconds where 15 are allowed. What a node took from an answer was whose it is
and whether it ran; nothing read what a target says of itself, and no line told of
it. A preference would not have done: where no target is in good standing all are
asked. Now a limit is kept by life, told to all nodes, and a gate before every
choice: as few nodes send as the limit bears, by a ranking on which all agree, and
what no target takes is refused at once with the time at which there is room.
"""

import unittest
from collections.abc import Sequence

import curio

from tests.lib.fake_targets import PLAIN, ClientAnswer
from tests.lib.throttling_targets import ThrottlingDeployment, Words

_LIMIT = 2.0
_NAMED_AT = 0.5
# From when on the users count, and in which spans.
_COUNTED_FROM = _NAMED_AT + 3
_SPAN_SECONDS = 4.0
# The aim: what the limit allows, and two more, whatever the number of nodes.
_MOST_IN_SPAN = _LIMIT * _SPAN_SECONDS + 2
_PLAY_SECONDS = 8.5
# While there is work for it, as where all others have a limit too; one request
# more may have come as the count began.
_LEAST_USED = 0.9
_A_SECOND = 120


def _some_limited(name: str, now: float) -> Words:
    is_limited = name in {'i0', 'i1', 'i2'} and now >= _NAMED_AT
    return Words(f'server-limit: {_LIMIT}\r\n' if is_limited else '')


def _all_limited(_name: str, now: float) -> Words:
    is_limited = now >= _NAMED_AT
    return Words(f'server-limit: {_LIMIT}\r\n' if is_limited else '')


class NamedLimitTest(unittest.TestCase):
    """Four nodes before ten targets, 120 requests a second."""

    answers: Sequence[ClientAnswer]

    def test_some_targets(self) -> None:
        """Three of ten name a limit; the others take the rest."""
        deployment = ThrottlingDeployment(4, 10, _some_limited)
        self._play(deployment, ('i0', 'i1', 'i2'))
        self.assertEqual(deployment.not_served(self.answers), [])

    def test_some_instances_of_a_plain_service(self) -> None:
        """So do plain services."""
        deployment = ThrottlingDeployment(4, 10, _some_limited, service=PLAIN)
        self._play(deployment, ('i0', 'i1', 'i2'))
        self.assertEqual(deployment.not_served(self.answers), [])

    def test_all_targets(self) -> None:
        """All name a limit: what is over it is refused, at no target."""
        deployment = ThrottlingDeployment(4, 10, _all_limited)
        limited = [one.name for one in deployment.targets]
        self._play(deployment, limited)
        for target in limited:
            count = deployment.count(target, _COUNTED_FROM, _PLAY_SECONDS)
            seconds = _PLAY_SECONDS - _COUNTED_FROM
            self.assertGreaterEqual(count, _LEAST_USED * _LIMIT * seconds - 1)
        refused = deployment.not_served(self.answers)
        self.assertEqual({one.status for one in refused}, {503})
        self.assertTrue(all('retry-after' in one.headers for one in refused))

    def _play(
        self,
        deployment: ThrottlingDeployment,
        limited: Sequence[str],
    ) -> None:
        curio.run(deployment.run, self._ask)
        most = deployment.most_within(_SPAN_SECONDS, limited, _COUNTED_FROM)
        self.assertLessEqual(most, _MOST_IN_SPAN)

    async def _ask(self, deployment: ThrottlingDeployment) -> None:
        self.answers = await deployment.ask(_PLAY_SECONDS, _A_SECOND)
