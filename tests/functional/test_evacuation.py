"""A failure domain is evacuated by command while calls are served."""

import contextlib
import io
import os
import time
import unittest

import curio

from cranecart.cli import main
from cranecart.cli._common import KEY_VARIABLE
from cranecart.exit_codes import ExitCode
from cranecart.load_testing import OutcomeKind
from cranecart.standins import read_record
from tests.lib.clusters import DOMAINS, start_cluster
from tests.lib.loads import language_profile, run_under_load
from tools.cluster_control import OPERATOR_KEY, wait_until
from tools.local_cluster import LocalCluster

# The bound from the acknowledgement of the write to the last request there.
_FORCE_SECONDS = 5.0
_EVACUATED_SECONDS = 8.0
# The path of the other failure domain's nodes to the platform.
_LINK = f'platform-{DOMAINS[1]}'


class EvacuationTest(unittest.TestCase):
    """Four nodes in two failure domains, each with a replica and services."""

    cluster: LocalCluster

    def setUp(self) -> None:
        """Start the cluster; spares let the other domain compensate."""
        self.cluster = start_cluster(
            self,
            nodes=4,
            engines_per_domain=8,
            services_per_domain=1,
            proxied=frozenset((_LINK,)),
        )
        os.environ[KEY_VARIABLE] = OPERATOR_KEY
        self.addCleanup(os.environ.pop, KEY_VARIABLE)

    def test_evacuation_under_load(self) -> None:
        """No call fails, none is sent there, and the other domain forms more."""
        written: list[tuple[float, float]] = []
        domains: list[list[str]] = []

        async def inject_faults() -> None:  # noqa: WPS430
            await curio.sleep(2)
            for words in ((DOMAINS[0],), (DOMAINS[0], '--end')):
                written.append(
                    await curio.run_in_thread(self._run_command, *words)
                )
                await curio.sleep(_EVACUATED_SECONDS)
                replicas = await self.cluster.control.fetch_replicas('node1')
                domains.append([each.failure_domain for each in replicas])

        outcomes = run_under_load(
            self.cluster,
            inject_faults,
            language_profile(
                services=[('brigad-app', '/next')], service_share=0.5
            ),
            2 + 2 * _EVACUATED_SECONDS,
            10,
        )
        kinds = {outcome.kind for outcome in outcomes}
        self.assertEqual(kinds, {OutcomeKind.ANSWERED})
        starts = [
            event
            for event in read_record(self.cluster.record)
            if event['event'] == 'start'
            and event['source'].startswith(DOMAINS[0])
        ]
        (_begun, first), (last, _ended) = written
        late = [
            start['at'] - first
            for start in starts
            if first + _FORCE_SECONDS < start['at'] < last
        ]
        self.assertEqual(late, [])
        self.assertTrue(any(start['at'] > last for start in starts))
        self.assertEqual(domains[0], [DOMAINS[1], DOMAINS[1]])
        self.assertIn(DOMAINS[0], domains[1])

    def test_nodes_without_the_platform(self) -> None:
        """They learn of the start and the end from nodes that reach it."""
        self.cluster.control.set_link_faults(_LINK, cut=True)
        self._run_command(DOMAINS[0])
        self._run_command(DOMAINS[0], '--end')

    def test_unknown_domain(self) -> None:
        """A misspelt name is refused, with the declared ones."""
        errors = io.StringIO()
        with contextlib.redirect_stderr(errors):
            code = main(['evacuate', self._address_flag(), 'buda'])
        self.assertEqual(code, ExitCode.FAILED)
        self.assertIn(DOMAINS[0], errors.getvalue())

    def _run_command(self, *words: str) -> tuple[float, float]:
        """Return the times before the command and of its acknowledgement."""
        begun = time.monotonic()
        with contextlib.redirect_stdout(io.StringIO()):
            code = main(['evacuate', self._address_flag(), *words])
        acknowledged = time.monotonic()
        self.assertEqual(code, ExitCode.OK)
        expected = () if '--end' in words else (DOMAINS[0],)
        wait_until(
            lambda: all(
                status is not None and status.evacuated == expected
                for status in map(
                    self.cluster.control.status, self.cluster.endpoints
                )
            ),
            'all nodes follow',
            _FORCE_SECONDS,
        )
        return begun, acknowledged

    def _address_flag(self) -> str:
        address = self.cluster.endpoints['node0'].operators
        return f'--node_address={address}'


if __name__ == '__main__':
    unittest.main()
