"""A request that crashes targets is held even if their ports stay open.

A proxy or a supervisor's listener may accept connections after the target
behind it has crashed, so a refused connection never showed the crash, and broken
connections alone were forgotten. One request, sent seven times a second for
twelve seconds to four nodes, crashed 80 targets; it was sent 124 times later than
three seconds after the third crash, and only 281 of 426 other requests were
served. Now a broken connection is remembered for some seconds with its
incarnation, and counts as a crash once the list shows another one, or none.
"""

import unittest

import curio

from tests.lib.crashing_targets import CRASH_MARK, Deployment, ask_in_turn
from tests.lib.fake_targets import PLAIN, ClientAnswer

# All nodes hold the request within this time after the third crash, but for a
# few sends.
_DETECTION_SECONDS = 3.0
_MAX_LATER_SENDS = 3
_RUN_SECONDS = 6.0
_MIN_SERVED_FRACTION = 0.8
_OK = 200


class CrashBehindOpenPortTest(unittest.TestCase):
    """Four nodes with ten targets."""

    other_answers: list[ClientAnswer]

    def test_streams(self) -> None:
        """The list shows the crash later, by an instance with another id."""
        self._assert_held(Deployment(4, 10, keeps_port=True))

    def test_plain_services(self) -> None:
        """The list shows another incarnation with the same id."""
        self._assert_held(
            Deployment(4, 10, keeps_port=True, service=PLAIN, renamed=False),
        )

    def _assert_held(self, deployment: Deployment) -> None:
        curio.run(deployment.run, self._run)
        later = deployment.marked_after(3, _DETECTION_SECONDS)
        self.assertLessEqual(later, _MAX_LATER_SENDS)
        served_count = sum(
            answer.is_complete and answer.status == _OK
            for answer in self.other_answers
        )
        self.assertGreater(
            served_count, _MIN_SERVED_FRACTION * len(self.other_answers)
        )
        self.assertFalse(
            any(b'"held"' in answer.body for answer in self.other_answers)
        )

    async def _run(self, deployment: Deployment) -> None:
        path = '/safe/x' if deployment.is_plain else '/stream/x'
        other_requests = await curio.spawn(
            self._send_other_requests, deployment, path
        )
        await ask_in_turn(
            deployment.nodes,
            path,
            CRASH_MARK,
            seconds=_RUN_SECONDS,
            per_second=7,
        )
        self.other_answers = await other_requests.join()

    async def _send_other_requests(
        self,
        deployment: Deployment,
        path: str,
    ) -> list[ClientAnswer]:
        """Send other requests, of which no two have the same identity."""
        answers: list[ClientAnswer] = []
        for turn in range(int(_RUN_SECONDS)):
            asked = await ask_in_turn(
                deployment.nodes,
                path,
                f'ordinary {turn}'.encode(),
                seconds=1,
                per_second=40,
            )
            answers.extend(asked)
        return answers
