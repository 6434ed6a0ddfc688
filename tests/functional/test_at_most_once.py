"""Non-repeatable calls run at most once, despite failures."""

import itertools
import time
import unittest
from collections import Counter
from collections.abc import Sequence

import attrs
import curio

from cranecart.load_testing import LoadCall, Outcome, OutcomeKind, send_call
from cranecart.standins import read_record
from tests.lib.clusters import start_cluster
from tools.cluster_control import wait_until
from tools.local_cluster import LocalCluster

_SERVICE_DELAY_MS = 700
_NODES = ('node0', 'node1')


class AtMostOnceTest(unittest.TestCase):
    """Checked against the services' records."""

    cluster: LocalCluster
    key_numbers = itertools.count()

    def setUp(self) -> None:
        """Start two nodes and two slow services, one behind a proxy."""
        self.cluster = start_cluster(
            self,
            nodes=2,
            domains=('buda-terem',),
            engines_per_domain=0,
            services_per_domain=1,
            service_flags=(f'--delay_ms={_SERVICE_DELAY_MS}',),
            proxied=frozenset(('buda-terem-s0', 'platform')),
        )

    def test_concurrent_duplicates_at_two_nodes(self) -> None:
        """Each of 20 calls, sent twice to both nodes, runs once.

        The store is slow meanwhile.
        """
        self.cluster.control.set_platform_faults(delay_ms=30)
        calls = [self._call() for _ in range(20)]
        outcomes = self._send([*calls, *calls], _NODES)
        self.assertEqual(len(outcomes), 80)
        self._assert_run_count(calls, 1)
        kinds = Counter(outcome.kind for outcome in outcomes)
        self.assertGreaterEqual(kinds[OutcomeKind.ANSWERED], 20)
        self.assertLessEqual(
            set(kinds),
            {OutcomeKind.ANSWERED, OutcomeKind.UNKNOWN},
        )

    def test_crash_of_the_sending_node(self) -> None:
        """Another node reports an unknown outcome and doesn't send the call."""
        call = self._call()
        curio.run(self._send_and_kill, call)
        outcome = self._send([call], ['node1'])[0]
        self.assertEqual(outcome.kind, OutcomeKind.UNKNOWN)
        self._assert_run_count([call], 1)

    def test_lost_responses_of_the_store(self) -> None:
        """A call runs once if the response to writing its claim is lost."""
        self.cluster.control.set_platform_faults(
            lose_answers=4,
            lose_prefix='claim/',
        )
        calls = [self._call() for _ in range(4)]
        outcomes = self._send(calls, ['node0'])
        self._assert_outcomes(outcomes, OutcomeKind.ANSWERED)
        self._assert_run_count(calls, 1)

    def test_platform_outage(self) -> None:
        """A call whose key cannot be claimed is rejected; later it runs."""
        self.cluster.control.set_platform_faults(down=True)
        call = self._call()
        outcome = self._send([call], ['node0'])[0]
        self.assertEqual(outcome.code, 'claim_unreadable')
        self.assertIsNotNone(outcome.retry_after)
        self.assertLess(outcome.ended - outcome.started, 3)
        self._assert_run_count([call], 0)
        self.cluster.control.set_platform_faults()
        self._assert_outcomes(
            self._send([call], ['node1']), OutcomeKind.ANSWERED
        )
        self._assert_run_count([call], 1)

    def test_retry_at_another_node(self) -> None:
        """A retry gets the recorded response and runs nothing."""
        call = self._call()
        self._assert_outcomes(
            self._send([call], ['node0']), OutcomeKind.ANSWERED
        )
        self._assert_outcomes(
            self._send([call], ['node1']), OutcomeKind.ANSWERED
        )
        self._assert_run_count([call], 1)

    def test_lost_response_of_the_service(self) -> None:
        """All attempts get an unknown outcome, and the call runs once."""
        call = self._call()
        first = curio.run(self._send_and_drop_answer, call)
        # The instance must have passed a health probe before the retry.
        self.cluster.control.set_link_faults('buda-terem-s0')
        time.sleep(1.5)
        retried = self._send([call], _NODES)
        self._assert_outcomes([first, *retried], OutcomeKind.UNKNOWN)
        self._assert_run_count([call], 1)

    def test_node_paused_between_claim_and_send(self) -> None:
        """After the pause the deadline has passed, so it doesn't send the call."""
        self.cluster.control.set_platform_faults(delay_ms=600)
        call = attrs.evolve(self._call(), deadline_ms=1500)
        curio.run(self._send_and_pause, call)
        self.cluster.control.set_platform_faults()
        wait_until(
            lambda: self.cluster.control.status('node0') is not None,
            'the paused node responds again',
        )
        time.sleep(1.5)
        self._assert_run_count([call], 0)

    async def _send_and_kill(self, call: LoadCall) -> None:
        sending = await curio.spawn(self._send_to, 'node0', call)
        while not self._run_count(call):
            await curio.sleep(0.05)
        self.cluster.processes['node0'].kill()
        outcome = await sending.join()
        self.assertEqual(outcome.kind, OutcomeKind.DISCONNECTED)

    async def _send_and_drop_answer(self, call: LoadCall) -> Outcome:
        sending = await curio.spawn(self._send_to, 'node0', call)
        # Earlier, a dropped answer to a health probe would take the instance
        # out, and the call would not be sent.
        while not self._run_count(call) and not sending.terminated:
            await curio.sleep(0.05)
        await self.cluster.control.link_faults(
            'buda-terem-s0',
            drop_answer=True,
        )
        outcome: Outcome = await sending.join()
        return outcome

    async def _send_and_pause(self, call: LoadCall) -> None:
        sending = await curio.spawn(self._send_to, 'node0', call)
        await curio.sleep(0.3)
        self.cluster.processes['node0'].pause()
        await curio.sleep(3)
        self.cluster.processes['node0'].resume()
        await sending.join()

    async def _send_to(self, node: str, call: LoadCall) -> Outcome:
        return await send_call(self.cluster.endpoints[node].clients, call)

    def _send(
        self,
        calls: Sequence[LoadCall],
        nodes: Sequence[str],
    ) -> list[Outcome]:
        return curio.run(self._send_all, calls, nodes)

    async def _send_all(
        self,
        calls: Sequence[LoadCall],
        nodes: Sequence[str],
    ) -> list[Outcome]:
        async with curio.TaskGroup(wait=all) as sending:
            for call, node in itertools.product(calls, nodes):
                await sending.spawn(self._send_to, node, call)
        return list(sending.results)

    def _call(self) -> LoadCall:
        number = next(self.key_numbers)
        return LoadCall(
            key=f'key-{number}',
            api_key='demo-budapest',
            prompt=f'patch {number} is done',
            service='brigad-app',
            path='/confirm',
            repeatable=False,
            deadline_ms=10000,
        )

    def _run_count(self, call: LoadCall) -> int:
        events = read_record(self.cluster.record)
        return sum(
            event['event'] == 'start' and event['key'] == call.key
            for event in events
        )

    def _assert_run_count(self, calls: Sequence[LoadCall], count: int) -> None:
        self.assertEqual({self._run_count(call) for call in calls}, {count})

    def _assert_outcomes(
        self,
        outcomes: Sequence[Outcome],
        kind: OutcomeKind,
    ) -> None:
        self.assertEqual(
            {outcome.kind for outcome in outcomes},
            {kind},
            [(outcome.kind, outcome.code) for outcome in outcomes],
        )
