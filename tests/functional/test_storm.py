"""Retries do not make a storm, and goodput comes back."""

import time
import unittest

import curio
import msgspec

from cranecart.http import Request, exchange
from cranecart.load_testing import OutcomeKind, Summary
from cranecart.standins import read_record
from tests.lib.clusters import start_cluster
from tests.lib.loads import language_profile, run_under_load
from tools.local_cluster import LocalCluster

_SECONDS = 18
_PER_SECOND = 50
_FAIL_AT = 4.0
_BACK_AT = 11.0
_RECOVERED_SECONDS = 5.0


class StormTest(unittest.TestCase):
    """Half of the engines break off all requests under full load."""

    cluster: LocalCluster

    def setUp(self) -> None:
        """Start a cluster."""
        self.cluster = start_cluster(self, nodes=2, engines_per_domain=4)

    def test_half_of_the_targets_fail(self) -> None:
        """What is sent to targets stays under 1.2 times the offered."""
        leader = next(
            replica.leader
            for replica in self.cluster.control.serving()
            if replica.failure_domain == 'buda-terem'
        )
        back_at = time.monotonic()

        async def chaos() -> None:  # noqa: WPS430
            nonlocal back_at  # noqa: WPS420
            for drops, wait in (
                (True, _FAIL_AT),
                (False, _BACK_AT - _FAIL_AT),
            ):
                await curio.sleep(wait)
                body = msgspec.json.encode(drops)
                request = Request('POST', '/standin/drop', body=body)
                await exchange(leader, request, 5)
            back_at = time.monotonic()

        profile = language_profile(tokens=8, non_repeatable_share=0)
        outcomes = run_under_load(
            self.cluster,
            chaos,
            profile,
            _SECONDS,
            _PER_SECOND,
        )
        events = read_record(self.cluster.record)
        sent = sum(event['event'] in {'start', 'dropped'} for event in events)
        self.assertLess(sent, 1.2 * len(outcomes))
        self.assertEqual(Summary.from_outcomes(outcomes, events).violations, 0)
        answered = sum(one.kind is OutcomeKind.ANSWERED for one in outcomes)
        self.assertGreater(answered, 0.8 * len(outcomes))
        later = [
            one.kind
            for one in outcomes
            if one.started > back_at + _RECOVERED_SECONDS
        ]
        self.assertGreater(len(later), 0)
        self.assertEqual(set(later), {OutcomeKind.ANSWERED})
