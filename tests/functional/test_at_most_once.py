"""A non-repeatable call runs at most once, whatever fails around it."""

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

_SLOW_MS = 700
_NODES = ('node0', 'node1')


class AtMostOnceTest(unittest.TestCase):
    """Judged by what the services recorded."""

    cluster: LocalCluster
    keys = itertools.count()

    def setUp(self) -> None:
        """Start two nodes and two slow services, one behind a proxy."""
        self.cluster = start_cluster(
            self,
            nodes=2,
            domains=('buda-terem',),
            engines_per_domain=0,
            services_per_domain=1,
            service_flags=(f'--delay_ms={_SLOW_MS}',),
            proxied=frozenset(('buda-terem-s0', 'platform')),
        )

    def test_copies_at_two_nodes_at_one_moment(self) -> None:
        """Many keys, each sent to both nodes twice, answers delayed."""
        self.cluster.control.set_platform_faults(delay_ms=30)
        calls = [self._call() for _ in range(20)]
        outcomes = self._send([*calls, *calls], _NODES)
        self.assertEqual(len(outcomes), 80)
        self._assert_ran(calls, 1)
        kinds = Counter(outcome.kind for outcome in outcomes)
        self.assertGreaterEqual(kinds[OutcomeKind.ANSWERED], 20)
        self.assertLessEqual(
            set(kinds),
            {OutcomeKind.ANSWERED, OutcomeKind.UNKNOWN},
        )

    def test_death_of_the_node_that_sent_it(self) -> None:
        """Another node says that it cannot tell, and does not send it."""
        call = self._call()
        curio.run(self._send_and_kill, call)
        outcome = self._send([call], ['node1'])[0]
        self.assertEqual(outcome.kind, OutcomeKind.UNKNOWN)
        self._assert_ran([call], 1)

    def test_lost_answers_of_the_table(self) -> None:
        """The claim was written though its answer was lost."""
        self.cluster.control.set_platform_faults(
            lose_answers=4,
            lose_prefix='claim/',
        )
        calls = [self._call() for _ in range(4)]
        outcomes = self._send(calls, ['node0'])
        self._assert_all(outcomes, OutcomeKind.ANSWERED)
        self._assert_ran(calls, 1)

    def test_platform_away(self) -> None:
        """Nothing runs under a key that cannot be claimed; later it does."""
        self.cluster.control.set_platform_faults(down=True)
        call = self._call()
        outcome = self._send([call], ['node0'])[0]
        self.assertEqual(outcome.code, 'claim_unreadable')
        self.assertIsNotNone(outcome.retry_after)
        self.assertLess(outcome.ended - outcome.started, 3)
        self._assert_ran([call], 0)
        self.cluster.control.set_platform_faults()
        self._assert_all(self._send([call], ['node1']), OutcomeKind.ANSWERED)
        self._assert_ran([call], 1)

    def test_replayed_later_at_another_node(self) -> None:
        """A repeat hears the recorded answer and runs nothing."""
        call = self._call()
        self._assert_all(self._send([call], ['node0']), OutcomeKind.ANSWERED)
        self._assert_all(self._send([call], ['node1']), OutcomeKind.ANSWERED)
        self._assert_ran([call], 1)

    def test_lost_answer_of_the_service(self) -> None:
        """Nobody can tell, everybody is told so, and nothing runs again."""
        self.cluster.control.set_link_faults(
            'buda-terem-s0',
            drop_answer=True,
        )
        call = self._call()
        first = self._send([call], ['node0'])
        # The instance must be probed well again before the repeat.
        self.cluster.control.set_link_faults('buda-terem-s0')
        time.sleep(1.5)
        again = self._send([call], _NODES)
        self._assert_all([*first, *again], OutcomeKind.UNKNOWN)
        self._assert_ran([call], 1)

    def test_node_paused_between_claim_and_send(self) -> None:
        """It looks at the deadline again and does not send."""
        self.cluster.control.set_platform_faults(delay_ms=600)
        call = attrs.evolve(self._call(), deadline_ms=1500)
        curio.run(self._send_and_pause, call)
        self.cluster.control.set_platform_faults()
        wait_until(
            lambda: self.cluster.control.status('node0') is not None,
            'the paused node answers again',
        )
        time.sleep(1.5)
        self._assert_ran([call], 0)

    async def _send_and_kill(self, call: LoadCall) -> None:
        sending = await curio.spawn(self._send_to, 'node0', call)
        while not self._ran(call):
            await curio.sleep(0.05)
        self.cluster.processes['node0'].kill()
        outcome = await sending.join()
        self.assertEqual(outcome.kind, OutcomeKind.DISCONNECTED)

    async def _send_and_pause(self, call: LoadCall) -> None:
        sending = await curio.spawn(self._send_to, 'node0', call)
        await curio.sleep(0.3)
        self.cluster.processes['node0'].pause()
        await curio.sleep(3)
        self.cluster.processes['node0'].resume()
        await sending.join()

    async def _send_to(self, node: str, call: LoadCall) -> Outcome:
        return await send_call(self.cluster.entries[node].clients, call)

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
        number = next(self.keys)
        return LoadCall(
            key=f'key-{number}',
            api_key='demo-budapest',
            prompt=f'patch {number} is done',
            service='brigad-app',
            path='/confirm',
            repeatable=False,
            deadline_ms=10000,
        )

    def _ran(self, call: LoadCall) -> int:
        events = read_record(self.cluster.record)
        return sum(
            event['event'] == 'start' and event['key'] == call.key
            for event in events
        )

    def _assert_ran(self, calls: Sequence[LoadCall], times: int) -> None:
        self.assertEqual({self._ran(call) for call in calls}, {times})

    def _assert_all(
        self,
        outcomes: Sequence[Outcome],
        kind: OutcomeKind,
    ) -> None:
        self.assertEqual({outcome.kind for outcome in outcomes}, {kind})
