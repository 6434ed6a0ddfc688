"""Targets get no more requests than they announce, from all nodes together.

If nothing evaluates the limits that targets announce, targets with limits of
1.4 and 1.6 requests a second go on getting 4 and 5 a second from all nodes.
Preferring other targets does not suffice, as all targets may be limited. Limits
are therefore kept by incarnation, published to all nodes and checked before
every choice, and requests above the limits are refused at once with a retry
time.
"""

import unittest
from collections.abc import Sequence

import curio

from tests.lib.fake_targets import PLAIN, ClientAnswer
from tests.lib.throttling_targets import Announcement, ThrottlingDeployment

_LIMIT = 2.0
_ANNOUNCED_AT = 0.5
# The acceptance rule counts from this time on, in windows of this length.
_MEASURED_FROM = _ANNOUNCED_AT + 3
_WINDOW_SECONDS = 4.0
# The required bound: the limit and two more, whatever the number of nodes.
_MAX_IN_WINDOW = _LIMIT * _WINDOW_SECONDS + 2
_RUN_SECONDS = 8.5
# The part of the limit that is used under sufficient load, which exists where
# all others are limited too. One more request may have come as the measurement
# began.
_MIN_UTILISATION = 0.9
_REQUESTS_PER_SECOND = 120


def _limit_some(name: str, now: float) -> Announcement:
    is_limited = name in {'i0', 'i1', 'i2'} and now >= _ANNOUNCED_AT
    return Announcement(f'server-limit: {_LIMIT}\r\n' if is_limited else '')


def _limit_all(_name: str, now: float) -> Announcement:
    is_limited = now >= _ANNOUNCED_AT
    return Announcement(f'server-limit: {_LIMIT}\r\n' if is_limited else '')


class AnnouncedLimitTest(unittest.TestCase):
    """Four nodes with ten targets at 120 requests per second."""

    answers: Sequence[ClientAnswer]

    def test_some_targets_are_limited(self) -> None:
        """Three of ten announce a limit; the others take the remaining load."""
        deployment = ThrottlingDeployment(4, 10, _limit_some)
        self._run(deployment, ('i0', 'i1', 'i2'))
        self.assertEqual(deployment.not_served(self.answers), [])

    def test_some_plain_instances_are_limited(self) -> None:
        """The same holds for instances of a plain service."""
        deployment = ThrottlingDeployment(4, 10, _limit_some, service=PLAIN)
        self._run(deployment, ('i0', 'i1', 'i2'))
        self.assertEqual(deployment.not_served(self.answers), [])

    def test_all_targets_are_limited(self) -> None:
        """Requests above the limits are refused and sent to no target."""
        deployment = ThrottlingDeployment(4, 10, _limit_all)
        limited = [target.name for target in deployment.targets]
        self._run(deployment, limited)
        for target in limited:
            count = deployment.count(target, _MEASURED_FROM, _RUN_SECONDS)
            seconds = _RUN_SECONDS - _MEASURED_FROM
            self.assertGreaterEqual(
                count, _MIN_UTILISATION * _LIMIT * seconds - 1
            )
        refused = deployment.not_served(self.answers)
        self.assertEqual({answer.status for answer in refused}, {503})
        self.assertTrue(
            all('retry-after' in answer.headers for answer in refused)
        )

    def _run(
        self,
        deployment: ThrottlingDeployment,
        limited: Sequence[str],
    ) -> None:
        curio.run(deployment.run, self._ask)
        max_requests = deployment.max_within(
            _WINDOW_SECONDS, limited, _MEASURED_FROM
        )
        self.assertLessEqual(max_requests, _MAX_IN_WINDOW)

    async def _ask(self, deployment: ThrottlingDeployment) -> None:
        self.answers = await deployment.ask(_RUN_SECONDS, _REQUESTS_PER_SECOND)
