"""Targets that send bytes without end, and responses that are only large."""

import unittest

import curio

from cranecart.http import ResponseLimits
from tests.lib.endless_targets import EndlessTargets, Framing
from tests.lib.fake_targets import (
    PLAIN,
    ClientAnswer,
    Exchange,
    GatewayTestbed,
    Script,
)

_BODY_BYTES = 1_000_000
_LIMITS = ResponseLimits(body_bytes=_BODY_BYTES)
# What the kernel takes from a target before it is read.
_UNREAD_BYTES = 8_000_000
_CALLS = 4


async def _answer(exchange: Exchange) -> None:
    await exchange.answer(b'whole')


def _ask(
    path: str,
    service: str,
    *scripts: Script,
    calls: int = _CALLS,
) -> list[ClientAnswer]:
    """Make calls one after the other, with the limits above."""
    testbed = GatewayTestbed(*scripts, service=service, retries=1000)
    testbed.connections.memory.limits = _LIMITS
    answers: list[ClientAnswer] = []

    async def scenario(running: GatewayTestbed) -> None:  # noqa: WPS430
        for number in range(calls):
            answers.append(await running.ask(path, request_id=f'r{number}'))

    curio.run(testbed.run, scenario)
    return answers


class EndlessBodyTest(unittest.TestCase):
    """Plain responses of which the end never comes."""

    def test_body_without_end_is_left_at_its_bound(self) -> None:
        """The caller is served by another target."""
        for framing in Framing:
            with self.subTest(framing=framing):
                endless = EndlessTargets(framing)
                answers = _ask('/safe/', PLAIN, endless.script(), _answer)
                bodies = {answer.body for answer in answers}
                self.assertEqual(bodies, {b'whole'})
                self.assertGreater(endless.begun, 0)
                self.assertLess(
                    endless.sent_bytes,
                    endless.begun * (_BODY_BYTES + _UNREAD_BYTES),
                )

    def test_only_bodies_without_end(self) -> None:
        """The caller gets an error that tells of the bound."""
        endless = EndlessTargets()
        answers = _ask(
            '/safe/', PLAIN, endless.script(), endless.script(), calls=1
        )
        self.assertEqual(answers[0].status, 502)
        self.assertIn(b'more than 1000000', answers[0].body)

    def test_large_body(self) -> None:
        """It passes unchanged if it is no larger than its bound."""
        body = bytes(range(250)) * (_BODY_BYTES // 250)

        async def answer(exchange: Exchange) -> None:  # noqa: WPS430
            await exchange.answer(body)

        answers = _ask('/safe/', PLAIN, answer, calls=1)
        self.assertEqual(answers[0].body, body)
