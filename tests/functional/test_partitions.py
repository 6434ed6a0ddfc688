"""Failure domains and nodes keep serving during network partitions."""

import unittest
from collections import Counter

import curio

from cranecart.load_testing import (
    LoadCall,
    Outcome,
    OutcomeKind,
    Summary,
    partial_starts,
    send_call,
    shared_instances,
)
from cranecart.standins import read_record
from tests.lib.clusters import start_cluster
from tests.lib.loads import FaultInjection, language_profile, run_under_load
from tools.cluster_control import wait_until
from tools.local_cluster import LocalCluster

_DETECTION_SECONDS = 5.0
_DOMAIN = 'buda-terem'
_DOMAIN_NODES = ('node0', 'node2')
_PEERS = tuple(f'node{number}-peer' for number in range(4))


class PartitionsTest(unittest.TestCase):
    """Proxies on the links of a domain to the platform and of nodes to peers."""

    cluster: LocalCluster

    def setUp(self) -> None:
        """Start a cluster in which every link can be cut."""
        links = (*_PEERS, f'platform-{_DOMAIN}')
        self.cluster = start_cluster(
            self,
            nodes=4,
            engines_per_domain=5,
            engine_flags=('--nochecks_members',),
            proxied=frozenset(links),
        )

    def test_domain_partitioned_from_the_platform(self) -> None:
        """It keeps serving when a member crashes, and is repaired afterwards."""
        victim = self._members()[1]

        async def inject_faults() -> None:  # noqa: WPS430
            await self._cut(f'platform-{_DOMAIN}')
            await curio.sleep(2)
            self.cluster.kill(victim)
            await curio.sleep(6)
            await self._heal(f'platform-{_DOMAIN}')

        self._assert_invariants(self._run(inject_faults, 12))
        wait_until(
            lambda: bool(self._members()) and victim not in self._members(),
            'the replica is repaired',
        )

    def test_domain_partitioned_from_everything(self) -> None:
        """It keeps serving without the platform and peers elsewhere."""

        async def inject_faults() -> None:  # noqa: WPS430
            for link in (*_PEERS, f'platform-{_DOMAIN}'):
                await self._cut(link)
            await curio.sleep(9)
            await self._check_domain_nodes()
            for link in (*_PEERS, f'platform-{_DOMAIN}'):
                await self._heal(link)

        self._assert_invariants(self._run(inject_faults, 14))
        wait_until(
            self._nodes_know_each_other, 'the nodes know each other again'
        )

    def test_node_that_receives_no_peer_messages(self) -> None:
        """An asymmetric partition: the others receive its messages."""
        victim = self._members()[2]

        async def inject_faults() -> None:  # noqa: WPS430
            await self.cluster.control.link_faults(
                'node0-peer',
                freeze_up=True,
            )
            await curio.sleep(5)
            self.cluster.kill(victim)
            await curio.sleep(6)
            await self._heal('node0-peer')

        outcomes = self._run(inject_faults, 14)
        # While its domain's replica is down the node has no target: its state
        # of other domains is outdated. It must refuse with a retry time.
        refused = [
            outcome
            for outcome in outcomes
            if outcome.kind is not OutcomeKind.ANSWERED
        ]
        isolated_node = str(self.cluster.endpoints['node0'].clients)
        self.assertLessEqual(
            {outcome.node for outcome in refused}, {isolated_node}
        )
        self.assertLessEqual(
            {outcome.code for outcome in refused}, {'no_replica'}
        )
        self.assertTrue(all(outcome.retry_after for outcome in refused))
        self._assert_invariants(
            [outcome for outcome in outcomes if outcome not in refused],
        )
        wait_until(
            self._nodes_know_each_other, 'the nodes know each other again'
        )

    async def _check_domain_nodes(self) -> None:
        for node in _DOMAIN_NODES:
            call = LoadCall(
                key=f'cut-off-{node}',
                api_key='demo-budapest',
                prompt='cut off',
                model='nyelvi-szerver',
            )
            address = self.cluster.endpoints[node].clients
            outcome = await send_call(address, call)
            self.assertEqual(outcome.kind, OutcomeKind.ANSWERED)

    async def _cut(self, link: str) -> None:
        await self.cluster.control.link_faults(link, cut=True)

    async def _heal(self, link: str) -> None:
        await self.cluster.control.link_faults(link)

    def _run(
        self, inject_faults: FaultInjection, seconds: float
    ) -> list[Outcome]:
        profile = language_profile(non_repeatable_share=0)
        return run_under_load(self.cluster, inject_faults, profile, seconds, 12)

    def _assert_invariants(self, outcomes: list[Outcome]) -> None:
        events = read_record(self.cluster.record)
        kinds = Counter(outcome.kind for outcome in outcomes)
        self.assertEqual(set(kinds), {OutcomeKind.ANSWERED}, kinds)
        self.assertEqual(Summary.from_outcomes(outcomes, events).violations, 0)
        self.assertEqual(shared_instances(events), set())
        durations = [start.seconds_missing for start in partial_starts(events)]
        self.assertLess(max(durations, default=0), _DETECTION_SECONDS)

    def _nodes_know_each_other(self) -> bool:
        return all(
            status is not None and len(status.nodes) == 2
            for status in map(self.cluster.control.status, _DOMAIN_NODES)
        )

    def _members(self) -> tuple[str, ...]:
        return next(
            (
                replica.members
                for replica in self.cluster.control.serving_replicas('node0')
                if replica.failure_domain == _DOMAIN
            ),
            (),
        )
