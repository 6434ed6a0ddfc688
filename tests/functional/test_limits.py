"""An organisation's limit applies to all nodes together."""

import itertools
import unittest
from collections import Counter

import curio

from cranecart.load_testing import LoadCall, Outcome, OutcomeKind, send_call
from cranecart.standins import read_record
from tests.lib.clusters import start_cluster
from tools.local_cluster import LocalCluster

_LIMIT = 40
_NODES = 3
_CALLS = 180


class LimitsTest(unittest.TestCase):
    """Three nodes together get more calls than the limit at once."""

    cluster: LocalCluster

    def setUp(self) -> None:
        """Start a cluster with slow services, so that calls overlap."""
        self.cluster = start_cluster(
            self,
            nodes=_NODES,
            domains=('buda-terem',),
            engines_per_domain=0,
            service_flags=('--delay_ms=1500',),
        )

    def test_concurrent_calls(self) -> None:
        """At most the limit plus one call per node run; others fail fast."""
        outcomes = curio.run(self._send_all)
        kinds = Counter(outcome.kind for outcome in outcomes)
        self.assertGreaterEqual(kinds[OutcomeKind.ANSWERED], _LIMIT / 2)
        self.assertLessEqual(self._max_concurrent(), _LIMIT + _NODES)
        refused = [
            outcome
            for outcome in outcomes
            if outcome.kind is OutcomeKind.NOT_RUN
        ]
        self.assertEqual({outcome.code for outcome in refused}, {'over_limit'})
        self.assertTrue(all(outcome.retry_after for outcome in refused))
        self.assertLess(
            max(outcome.ended - outcome.started for outcome in refused), 1.4
        )

    async def _send_all(self) -> list[Outcome]:
        entries = itertools.cycle(self.cluster.endpoints.values())
        async with curio.TaskGroup(wait=all) as sending:
            for number, entry in zip(range(_CALLS), entries, strict=False):
                call = LoadCall(
                    key=f'limit-{number}',
                    api_key='demo-gyor',
                    prompt='next stop',
                    service='brigad-app',
                    path='/next',
                )
                await sending.spawn(send_call, entry.clients, call)
        return list(sending.results)

    def _max_concurrent(self) -> int:
        running = 0
        maximum = 0
        for event in read_record(self.cluster.record):
            running += event['event'] == 'start'
            running -= event['event'] == 'finish'
            maximum = max(maximum, running)
        return maximum
