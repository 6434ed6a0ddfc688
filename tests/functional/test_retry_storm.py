"""Retries don't cause a retry storm, and goodput recovers."""

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
_RECOVER_AT = 11.0
_RECOVERED_SECONDS = 5.0


class RetryStormTest(unittest.TestCase):
    """Half of the engines drop all requests under full load."""

    cluster: LocalCluster

    def setUp(self) -> None:
        """Start a cluster."""
        self.cluster = start_cluster(self, nodes=2, engines_per_domain=4)

    def test_failure_of_half_of_the_targets(self) -> None:
        """Targets get less than 1.2 times the offered requests."""
        leader = next(
            replica.leader
            for replica in self.cluster.control.serving_replicas()
            if replica.failure_domain == 'buda-terem'
        )
        recovered_at = time.monotonic()

        async def inject_faults() -> None:  # noqa: WPS430
            nonlocal recovered_at  # noqa: WPS420
            for is_dropping, wait in (
                (True, _FAIL_AT),
                (False, _RECOVER_AT - _FAIL_AT),
            ):
                await curio.sleep(wait)
                body = msgspec.json.encode(is_dropping)
                request = Request('POST', '/standin/drop', body=body)
                await exchange(leader, request, 5)
            recovered_at = time.monotonic()

        profile = language_profile(tokens=8, non_repeatable_share=0)
        outcomes = run_under_load(
            self.cluster,
            inject_faults,
            profile,
            _SECONDS,
            _PER_SECOND,
        )
        events = read_record(self.cluster.record)
        sent = sum(event['event'] in {'start', 'dropped'} for event in events)
        self.assertLess(sent, 1.2 * len(outcomes))
        self.assertEqual(Summary.from_outcomes(outcomes, events).violations, 0)
        answered = sum(
            outcome.kind is OutcomeKind.ANSWERED for outcome in outcomes
        )
        self.assertGreater(answered, 0.8 * len(outcomes))
        later_kinds = [
            outcome.kind
            for outcome in outcomes
            if outcome.started > recovered_at + _RECOVERED_SECONDS
        ]
        self.assertGreater(len(later_kinds), 0)
        self.assertEqual(set(later_kinds), {OutcomeKind.ANSWERED})
