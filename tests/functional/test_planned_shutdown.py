"""Planned shutdowns of instances and nodes interrupt no requests."""

import time
import unittest
from collections import Counter
from collections.abc import Sequence

import curio
import msgspec

from cranecart.http import Address
from cranecart.load_testing import (
    Outcome,
    OutcomeKind,
    Summary,
    aborted_starts,
    starts_while_leaving,
)
from cranecart.standins import read_record
from tests.lib.clusters import start_cluster
from tests.lib.loads import FaultInjection, language_profile, run_under_load
from tools.cluster_control import wait_until
from tools.local_cluster import LocalCluster

_NOTICE_SECONDS = 4.0
_DOMAIN = 'buda-terem'
_NODES = ('node0', 'node1', 'node2', 'node3')


class PlannedShutdownTest(unittest.TestCase):
    """Long streams run during planned shutdowns."""

    cluster: LocalCluster

    def setUp(self) -> None:
        """Start a cluster whose responses take about a second."""
        self.cluster = start_cluster(
            self,
            nodes=4,
            engines_per_domain=5,
            services_per_domain=2,
            engine_flags=('--token_ms=25',),
            settings={'stop_grace_ms': 20000},
        )

    def test_engine_reports_that_it_leaves(self) -> None:
        """Its replica is drained and repaired."""
        engine = self._member()

        async def inject_faults() -> None:  # noqa: WPS430
            await curio.sleep(2)
            await self.cluster.control.announce_leaving(engine)

        self._assert_no_failures(self._run(inject_faults, 14))
        wait_until(lambda: self._is_replaced(engine), f'{engine} is replaced')

    def test_instance_list_reports_a_leaving_engine(self) -> None:
        """The platform's list has the same effect as the engine's own report."""
        engine = self._member()

        async def inject_faults() -> None:  # noqa: WPS430
            await curio.sleep(2)
            await self._mark_leaving_in_list(engine)

        self._assert_no_failures(self._run(inject_faults, 14))
        wait_until(lambda: self._is_replaced(engine), f'{engine} is replaced')

    def test_service_leaves(self) -> None:
        """Calls are routed to the other instance."""

        async def inject_faults() -> None:  # noqa: WPS430
            await curio.sleep(2)
            await self.cluster.control.announce_leaving(f'{_DOMAIN}-s0')

        outcomes = self._run(
            inject_faults,
            10,
            services=[('brigad-app', '/next')],
            service_share=1.0,
        )
        self._assert_no_failures(outcomes)

    def test_rolling_restart_of_all_nodes(self) -> None:
        """No request is interrupted or lost."""

        async def inject_faults() -> None:  # noqa: WPS430
            for name in _NODES:
                await curio.run_in_thread(self._restart, name)

        self._assert_no_failures(
            self._run(inject_faults, 40, per_second=8, tokens=80)
        )
        for name in _NODES:
            log = (self.cluster.folder / f'{name}.log').read_text('utf-8')
            self.assertIn('node_stopped', log)

    def _restart(self, name: str) -> None:
        process = self.cluster.processes[name]
        process.terminate()
        code = process.wait(30)
        self.cluster.start_node(name)
        if code:
            raise AssertionError(
                f'{name} must exit with 0, but exited with {code}'
            )
        time.sleep(3)

    async def _mark_leaving_in_list(self, name: str) -> None:
        address = self.cluster.addresses[name]
        entry = {
            'id': name,
            'kind': 'engine',
            'host': address.host,
            'port': address.port,
            'failure_domain': _DOMAIN,
            'fabric_domain': f'{_DOMAIN}-f0',
            'leaving': True,
        }
        platform: Address = self.cluster.addresses['platform']
        await self.cluster.control.post(
            platform,
            '/standin/instances',
            entry,
        )
        line = {'at': time.monotonic(), 'source': name, 'event': 'leaving'}
        with self.cluster.record.open('ab') as record:
            record.write(b'%b\n' % msgspec.json.encode(line))

    def _run(
        self,
        inject_faults: FaultInjection,
        seconds: float,
        per_second: float = 10,
        **profile: object,
    ) -> list[Outcome]:
        return run_under_load(
            self.cluster,
            inject_faults,
            language_profile(**profile),
            seconds,
            per_second,
        )

    def _assert_no_failures(self, outcomes: Sequence[Outcome]) -> None:
        events = read_record(self.cluster.record)
        kinds = Counter(outcome.kind for outcome in outcomes)
        self.assertEqual(set(kinds), {OutcomeKind.ANSWERED}, kinds)
        summary = Summary.from_outcomes(outcomes, events)
        self.assertEqual(summary.violations, 0)
        self.assertEqual(aborted_starts(events), [])
        delays = [
            start.seconds_since_leaving
            for start in starts_while_leaving(events)
        ]
        self.assertLess(max(delays, default=0), _NOTICE_SECONDS)

    def _member(self) -> str:
        return self._replica()[1]

    def _is_replaced(self, engine: str) -> bool:
        members = self._replica()
        return bool(members) and engine not in members

    def _replica(self) -> tuple[str, ...]:
        return next(
            (
                replica.members
                for replica in self.cluster.control.serving_replicas()
                if replica.failure_domain == _DOMAIN
            ),
            (),
        )
