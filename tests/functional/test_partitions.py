"""Failure domains and nodes that are cut off go on serving what they can."""

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
from tests.lib.loads import Chaos, language_profile, run_under_load
from tools.cluster_control import wait_until
from tools.local_cluster import LocalCluster

_KNOWN_SECONDS = 5.0
_DOMAIN = 'buda-terem'
_OWN = ('node0', 'node2')
_PEERS = tuple(f'node{number}-peer' for number in range(4))


class PartitionsTest(unittest.TestCase):
    """Each domain has its own link to the platform, each node to peers."""

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

    def test_domain_cut_off_from_the_platform(self) -> None:
        """It serves on while a member dies, and is repaired afterwards."""
        victim = self._members()[1]

        async def chaos() -> None:  # noqa: WPS430
            await self._cut(f'platform-{_DOMAIN}')
            await curio.sleep(2)
            self.cluster.kill(victim)
            await curio.sleep(6)
            await self._heal(f'platform-{_DOMAIN}')

        self._assert_sound(self._run(chaos, 12))
        wait_until(
            lambda: bool(self._members()) and victim not in self._members(),
            'the replica is repaired',
        )

    def test_domain_cut_off_from_everybody(self) -> None:
        """Without peers elsewhere and without the platform it serves on."""

        async def chaos() -> None:  # noqa: WPS430
            for link in (*_PEERS, f'platform-{_DOMAIN}'):
                await self._cut(link)
            await curio.sleep(9)
            await self._check_own_nodes()
            for link in (*_PEERS, f'platform-{_DOMAIN}'):
                await self._heal(link)

        self._assert_sound(self._run(chaos, 14))
        wait_until(self._all_know_all, 'the nodes have found each other')

    def test_node_that_hears_nobody(self) -> None:
        """One way only: it is heard, but hears no other node."""
        victim = self._members()[2]

        async def chaos() -> None:  # noqa: WPS430
            await self.cluster.control.link_faults(
                'node0-peer',
                freeze_up=True,
            )
            await curio.sleep(5)
            self.cluster.kill(victim)
            await curio.sleep(6)
            await self._heal('node0-peer')

        outcomes = self._run(chaos, 14)
        # While its own replica is down it has nothing to send to: what it
        # heard of other domains is too old to be sure of. It must say so.
        refused = [
            one for one in outcomes if one.kind is not OutcomeKind.ANSWERED
        ]
        deaf = str(self.cluster.entries['node0'].clients)
        self.assertLessEqual({one.node for one in refused}, {deaf})
        self.assertLessEqual({one.code for one in refused}, {'no_replica'})
        self.assertTrue(all(one.retry_after for one in refused))
        self._assert_sound(
            [one for one in outcomes if one not in refused],
        )
        wait_until(self._all_know_all, 'the nodes have found each other')

    async def _check_own_nodes(self) -> None:
        for node in _OWN:
            call = LoadCall(
                key=f'cut-off-{node}',
                api_key='demo-budapest',
                prompt='cut off',
                model='nyelvi-szerver',
            )
            address = self.cluster.entries[node].clients
            outcome = await send_call(address, call)
            self.assertEqual(outcome.kind, OutcomeKind.ANSWERED)

    async def _cut(self, link: str) -> None:
        await self.cluster.control.link_faults(link, cut=True)

    async def _heal(self, link: str) -> None:
        await self.cluster.control.link_faults(link)

    def _run(self, chaos: Chaos, seconds: float) -> list[Outcome]:
        profile = language_profile(non_repeatable_share=0)
        return run_under_load(self.cluster, chaos, profile, seconds, 12)

    def _assert_sound(self, outcomes: list[Outcome]) -> None:
        events = read_record(self.cluster.record)
        kinds = Counter(outcome.kind for outcome in outcomes)
        self.assertEqual(set(kinds), {OutcomeKind.ANSWERED}, kinds)
        self.assertEqual(Summary.from_outcomes(outcomes, events).violations, 0)
        self.assertEqual(shared_instances(events), set())
        missing = [one.seconds_missing for one in partial_starts(events)]
        self.assertLess(max(missing, default=0), _KNOWN_SECONDS)

    def _all_know_all(self) -> bool:
        return all(
            status is not None and len(status.nodes) == 2
            for status in map(self.cluster.control.status, _OWN)
        )

    def _members(self) -> tuple[str, ...]:
        return next(
            (
                replica.members
                for replica in self.cluster.control.serving('node0')
                if replica.failure_domain == _DOMAIN
            ),
            (),
        )
