"""Replicas serve only with all members, and share no instance.

The stand-in engines here don't probe each other, so only the nodes prevent a
replica with a missing member from serving.
"""

import time
import unittest
from collections import Counter
from collections.abc import Sequence

import attrs
import curio

from cranecart.cli._apply import apply_change
from cranecart.config import compile_folder
from cranecart.declarations import FencingSupport
from cranecart.load_testing import (
    Outcome,
    OutcomeKind,
    Summary,
    partial_starts,
    shared_instances,
)
from cranecart.standins import read_record
from tests.lib.clusters import EXAMPLES, start_cluster
from tests.lib.loads import language_profile, run_under_load
from tools.cluster_control import wait_until
from tools.local_cluster import LocalCluster

# Time within which every node must have detected that a member is missing.
_DETECTION_SECONDS = 5.0
_DOMAIN = 'buda-terem'


class ReplicasTest(unittest.TestCase):
    """Two failure domains with two nodes and a replica each."""

    cluster: LocalCluster

    def setUp(self) -> None:
        """Start a cluster whose engines check neither members nor fencing."""
        self.cluster = start_cluster(
            self,
            nodes=4,
            engines_per_domain=5,
            engine_flags=('--nochecks_members', '--nochecks_fencing'),
            proxied=frozenset(('platform',)),
        )

    def test_member_killed(self) -> None:
        """The replica stops serving, is repaired and serves again."""
        self._kill_under_load(rank=1)

    def test_leader_killed(self) -> None:
        """Streams are resumed on another replica at the correct token."""
        self._kill_under_load(rank=0)

    def test_member_paused_and_resumed(self) -> None:
        """A member that was replaced while it was paused doesn't serve."""
        victim = self._member(2)

        async def inject_faults() -> None:  # noqa: WPS430
            await curio.sleep(1)
            self.cluster.pause(victim)
            await curio.sleep(9)
            self.cluster.resume(victim)

        outcomes = self._run(inject_faults, 14)
        self._assert_invariants(outcomes)
        self._wait_for_repair(victim)

    def test_placer_paused_past_its_lease(self) -> None:
        """Another node repairs the replica; the resumed one changes nothing.

        The engines accept orders with outdated fencing tokens, as some do.
        """
        self._declare_ignored_fencing()
        placer = self._placer()
        victim = self._member(1)

        async def inject_faults() -> None:  # noqa: WPS430
            await curio.sleep(1)
            self.cluster.processes[placer].pause()
            self.cluster.kill(victim)
            await curio.sleep(17)
            self.cluster.processes[placer].resume()

        outcomes = self._run(inject_faults, 26, per_second=8)
        self._assert_invariants(outcomes)
        self._wait_for_repair(victim)
        self.assertNotEqual(self._placer(), placer)

    def test_member_crash_during_platform_outage(self) -> None:
        """The replica stops serving, and is repaired after the outage."""
        victim = self._member(1)

        async def inject_faults() -> None:  # noqa: WPS430
            await curio.sleep(1)
            await self.cluster.control.platform_faults(down=True)
            self.cluster.kill(victim)
            await curio.sleep(10)
            await self.cluster.control.platform_faults()

        # Non-repeatable calls cannot be claimed without the store; that they
        # are refused is tested in test_at_most_once.
        outcomes = self._run(inject_faults, 12, non_repeatable_share=0)
        self._assert_invariants(outcomes)
        self._assert_answered(outcomes)
        self._wait_for_repair(victim)

    def test_outage_of_a_whole_fabric_domain(self) -> None:
        """The other failure domain serves, and the failed one recovers."""
        victims = [f'{_DOMAIN}-e{number}' for number in range(5)]

        async def inject_faults() -> None:  # noqa: WPS430
            await curio.sleep(1)
            for victim in victims:
                self.cluster.kill(victim)
            await curio.sleep(8)
            for victim in victims:
                self.cluster.start_engine(victim, _DOMAIN)

        outcomes = self._run(inject_faults, 14)
        self._assert_invariants(outcomes)
        self._assert_answered(outcomes)
        wait_until(
            lambda: bool(self._replicas(_DOMAIN)),
            'the domain serves again',
        )

    def _kill_under_load(self, rank: int) -> None:
        victim = self._member(rank)

        async def inject_faults() -> None:  # noqa: WPS430
            await curio.sleep(2)
            self.cluster.kill(victim)

        outcomes = self._run(inject_faults, 10)
        self._assert_invariants(outcomes)
        self._assert_answered(outcomes)
        self._wait_for_repair(victim)

    def _run(
        self,
        inject_faults: object,
        seconds: float,
        per_second: float = 15,
        **profile: object,
    ) -> list[Outcome]:
        return run_under_load(
            self.cluster,
            inject_faults,  # type: ignore[arg-type]
            language_profile(**profile),
            seconds,
            per_second,
        )

    def _assert_invariants(self, outcomes: Sequence[Outcome]) -> None:
        events = read_record(self.cluster.record)
        summary = Summary.from_outcomes(outcomes, events)
        self.assertEqual(summary.violations, 0, summary)
        self.assertEqual(shared_instances(events), set())
        late_starts = [
            start.seconds_missing
            for start in partial_starts(events)
            if start.seconds_missing > _DETECTION_SECONDS
        ]
        self.assertEqual(late_starts, [])

    def _assert_answered(self, outcomes: Sequence[Outcome]) -> None:
        kinds = Counter(outcome.kind for outcome in outcomes)
        self.assertEqual(set(kinds), {OutcomeKind.ANSWERED}, kinds)

    def _wait_for_repair(self, victim: str) -> None:
        wait_until(
            lambda: self._serves_without(victim),
            f'the replica of {victim} is repaired',
        )

    def _serves_without(self, victim: str) -> bool:
        replicas = self._replicas(victim.rpartition('-')[0])
        return bool(replicas) and victim not in replicas[0]

    def _replicas(self, domain: str) -> list[tuple[str, ...]]:
        return [
            replica.members
            for replica in self.cluster.control.serving_replicas(
                self._node(domain)
            )
            if replica.failure_domain == domain
        ]

    def _node(self, domain: str) -> str:
        running = (
            name
            for number, name in enumerate(self.cluster.endpoints)
            if self.cluster.options.domains[number % 2] == domain
            and self.cluster.control.status(name) is not None
        )
        return next(running)

    def _member(self, rank: int) -> str:
        return self._replicas(_DOMAIN)[0][rank]

    def _placer(self) -> str:
        status = self.cluster.control.status(self._node(_DOMAIN))
        assert status is not None
        return status.duties[f'placer/{_DOMAIN}']

    def _declare_ignored_fencing(self) -> None:
        client = self.cluster.control.operator()
        declared = compile_folder(EXAMPLES / 'katyuszerviz')
        models = tuple(
            attrs.evolve(spec, fencing=FencingSupport.IGNORED)
            for spec in declared.models
        )
        changed = attrs.evolve(declared, models=models)
        curio.run(apply_change, client, changed, None, 'ignored fencing')
        time.sleep(3)
