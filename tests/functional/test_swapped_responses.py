"""Responses to other requests are not delivered to clients."""

import unittest

import curio
import msgspec

from cranecart.http import Request, exchange
from cranecart.load_testing import OutcomeKind, Summary
from cranecart.standins import read_record
from tests.lib.clusters import start_cluster
from tests.lib.loads import language_profile, run_under_load
from tools.local_cluster import LocalCluster


class SwappedResponseTest(unittest.TestCase):
    """An engine temporarily responds with the ids of other requests."""

    cluster: LocalCluster

    def setUp(self) -> None:
        """Start a cluster with two replicas."""
        self.cluster = start_cluster(self, nodes=2, engines_per_domain=4)

    def test_swapped_responses(self) -> None:
        """Clients get their own responses from the other replica."""
        leader = next(
            replica.leader
            for replica in self.cluster.control.serving_replicas()
            if replica.failure_domain == 'buda-terem'
        )

        async def inject_faults() -> None:  # noqa: WPS430
            for is_swapping in (True, False):
                await curio.sleep(2)
                body = msgspec.json.encode(is_swapping)
                request = Request('POST', '/standin/cross', body=body)
                await exchange(leader, request, 5)

        outcomes = run_under_load(
            self.cluster,
            inject_faults,
            language_profile(tokens=4, non_repeatable_share=0),
            seconds=7,
            per_second=10,
        )
        summary = Summary.from_outcomes(
            outcomes,
            read_record(self.cluster.record),
        )
        self.assertEqual(summary.wrong, 0)
        failure_kinds = {
            outcome.kind
            for outcome in outcomes
            if outcome.kind is not OutcomeKind.ANSWERED
        }
        # If the retry budget is exhausted, the outcome is reported as unknown.
        self.assertLessEqual(failure_kinds, {OutcomeKind.UNKNOWN})
        self.assertGreater(summary.answered, 0.9 * len(outcomes))
