"""A target in back-off gets no requests from the node that it refused.

Replica heads refused all requests with a back-off of three seconds, and single
nodes sent them up to six more in that time, as a target that refuses everything
looks idle; clients got a retry time of 0.2 s each time. A refusal counted as
one failure, three in a row ejected a target for a second, and where all targets
were ejected all were used. Now a back-off is kept by node and incarnation, and
is checked before every choice and once more before sending.
"""

import functools
import unittest
from collections.abc import Collection, Sequence

import curio

from tests.lib.fake_targets import ClientAnswer
from tests.lib.throttling_targets import Announcement, ThrottlingDeployment

_BACKOFF_SECONDS = 3.0
_STARTS_AT = 0.5
_ENDS_AT = 4.0
# The acceptance rule: at most two requests half a second or more after the
# response.
_GRACE_SECONDS = 0.5
_MAX_REQUESTS = 2
_RUN_SECONDS = 6.0
_REQUESTS_PER_SECOND = 120
# Clients wait three seconds in all, and honour a third of what remains.
_MIN_RETRY_SECONDS = 0.95


def _back_off(names: Collection[str], name: str, now: float) -> Announcement:
    if name in names and _STARTS_AT <= now < _ENDS_AT:
        return Announcement(
            f'retry-after: {_BACKOFF_SECONDS}\r\n', refuses=True
        )
    return Announcement()


_ALL_TARGETS = tuple(map('i{}'.format, range(10)))


class TargetBackoffTest(unittest.TestCase):
    """Four nodes with ten targets at 120 requests per second."""

    answers: Sequence[ClientAnswer]

    def test_some_targets_back_off(self) -> None:
        """Two of ten request a back-off, and the others serve all requests.

        A route allows two targets; at each node one request may meet both
        before the node knows of either back-off.
        """
        deployment = self._run(('i0', 'i1'))
        max_requests = deployment.max_in_backoff(
            _BACKOFF_SECONDS, _GRACE_SECONDS
        )
        self.assertLessEqual(max_requests, _MAX_REQUESTS)
        refused = deployment.not_served(self.answers)
        self.assertLessEqual(len(refused), len(deployment.nodes))

    def test_all_targets_back_off(self) -> None:
        """No target gets requests, and clients get a retry time."""
        deployment = self._run(_ALL_TARGETS)
        max_requests = deployment.max_in_backoff(
            _BACKOFF_SECONDS, _GRACE_SECONDS
        )
        self.assertLessEqual(max_requests, _MAX_REQUESTS)
        refused = deployment.not_served(self.answers)
        self.assertEqual({answer.status for answer in refused}, {503})
        # Each node meets each target once and knows all back-offs then; take
        # the first second, while every back-off lasts another two.
        early = refused[
            len(deployment.nodes) * len(_ALL_TARGETS) : _REQUESTS_PER_SECOND
        ]
        retry_times = [float(answer.headers['retry-after']) for answer in early]
        self.assertGreater(min(retry_times), _MIN_RETRY_SECONDS)

    def _run(self, names: Collection[str]) -> ThrottlingDeployment:
        announce = functools.partial(_back_off, names)
        deployment = ThrottlingDeployment(4, 10, announce)
        curio.run(deployment.run, self._ask)
        return deployment

    async def _ask(self, deployment: ThrottlingDeployment) -> None:
        self.answers = await deployment.ask(_RUN_SECONDS, _REQUESTS_PER_SECOND)
