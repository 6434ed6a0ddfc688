"""An accepted configuration takes effect everywhere and never reverts."""

import itertools
import time
import unittest
from collections import defaultdict
from collections.abc import Mapping, Sequence
from pathlib import Path

import attrs
import curio

from cranecart.cli._apply import apply_change, wait_until_in_force
from cranecart.config import compile_folder
from cranecart.declarations import Declarations
from cranecart.exceptions import (
    CranecartError,
    WriteConflictError,
    WriteUnknownError,
)
from cranecart.operators import OperatorClient
from cranecart.rollout import Change
from tests.lib.clusters import EXAMPLES, start_cluster
from tools.cluster_control import wait_until
from tools.local_cluster import LocalCluster

_ROLLOUT_SECONDS = 7.0
_OPERATOR_COUNT = 6
_ROUNDS = 3


class ConfigurationTest(unittest.TestCase):
    """Four nodes in two failure domains, no engines."""

    cluster: LocalCluster

    def setUp(self) -> None:
        """Start the cluster with version 1 in force."""
        self.cluster = start_cluster(
            self,
            nodes=4,
            engines_per_domain=0,
            proxied=frozenset(('platform',)),
        )
        self.declared = compile_folder(Path(EXAMPLES / 'katyuszerviz'))

    def test_concurrent_changes_with_lost_responses(self) -> None:
        """The history is linear and matches the responses to operators."""
        accepted: list[Change] = []
        conflicts: list[str] = []
        for number in range(_ROUNDS):
            self.cluster.control.set_platform_faults(
                lose_answers=3,
                lose_prefix='config/',
                delay_ms=20,
            )
            curio.run(self._apply_concurrently, number, accepted, conflicts)
        self.cluster.control.set_platform_faults()
        history = curio.run(self.cluster.control.operator().changes)
        versions = [change.version for change in history]
        self.assertEqual(versions, list(range(1, len(history) + 1)))
        notes = [change.note for change in history]
        self.assertEqual(len(set(notes)), len(notes))
        self.assertLessEqual({change.note for change in accepted}, set(notes))
        self.assertFalse(set(conflicts) & set(notes))
        self.assertGreaterEqual(len(accepted), 1)

    def test_rollout_with_a_slow_platform(self) -> None:
        """Each change is in force on all nodes within seven seconds."""
        self.cluster.control.set_platform_faults(delay_ms=500)
        for number in range(4):
            seconds = self._apply_and_wait(f'slow {number}')
            self.assertLess(seconds, _ROLLOUT_SECONDS)

    def test_never_reverts(self) -> None:
        """No node goes back to an older version.

        Nodes are restarted and paused, and the platform is down.
        """
        self._apply_and_wait('two')
        seen_versions: dict[str, list[int]] = defaultdict(list)
        self.cluster.processes['node1'].pause()
        self._apply('three')
        # Other nodes than the one that accepted the change have it too.
        wait_until(
            lambda: set(map(self._last_version, ('node2', 'node3'))) == {3},
            'version 3 is in force on the nodes that run',
        )
        self.cluster.control.set_platform_faults(down=True)
        self.cluster.processes['node0'].kill()
        self.cluster.start_node('node0')
        self.cluster.processes['node1'].resume()
        wait_until(
            lambda: self._record_versions(seen_versions) == {3},
            'version 3 is in force without the platform',
        )
        self.cluster.control.set_platform_faults()
        # On a busy machine a node may need longer to start than the loop below.
        wait_until(
            lambda: (
                self._record_versions(seen_versions) == {3}
                and _all_have_had(seen_versions, 3)
            ),
            'version 3 has been in force on every node',
        )
        for _ in range(20):
            self._record_versions(seen_versions)
            time.sleep(0.1)
        self._assert_only_rising(seen_versions)

    def _assert_only_rising(self, seen_versions: dict[str, list[int]]) -> None:
        for versions in seen_versions.values():
            # A node that was just started has no configuration and serves nothing.
            applied = [version for version in versions if version]
            self.assertEqual(applied, sorted(applied))
            self.assertEqual(applied[-1], 3)

    async def _apply_concurrently(
        self,
        number: int,
        accepted: list[Change],
        conflicts: list[str],
    ) -> None:
        nodes = itertools.cycle(self.cluster.endpoints)
        base = (await self.cluster.control.operator().declared()).version
        async with curio.TaskGroup(wait=all) as applying:
            for operator, node in zip(
                range(_OPERATOR_COUNT), nodes, strict=False
            ):
                await applying.spawn(
                    self._apply_one,
                    self.cluster.control.operator(node),
                    base,
                    f'{number}/{operator}',
                )
        for outcome in applying.results:
            if isinstance(outcome, Change):
                accepted.append(outcome)
            elif outcome is not None:
                conflicts.append(outcome)

    async def _apply_one(
        self,
        client: OperatorClient,
        base: int,
        note: str,
    ) -> Change | str | None:
        declarations = self._changed(note)
        try:
            return await client.apply(declarations, base, 'operator', note)
        except WriteConflictError:
            return note
        except WriteUnknownError:
            return None

    def _apply(self, note: str) -> Change:
        client = self.cluster.control.operator()
        declarations = self._changed(note)
        return curio.run(apply_change, client, declarations, None, note)

    def _apply_and_wait(self, note: str) -> float:
        change = self._apply(note)
        started = time.monotonic()
        for node in self.cluster.endpoints:
            behind = curio.run(
                wait_until_in_force,
                self.cluster.control.operator(node),
                change.version,
                _ROLLOUT_SECONDS * 2,
            )
            self.assertEqual(behind, [])
        return time.monotonic() - started

    def _changed(self, note: str) -> Declarations:
        return attrs.evolve(self.declared, region=f'kozep-hu {note}')

    def _record_versions(self, seen_versions: dict[str, list[int]]) -> set[int]:
        for name in self.cluster.endpoints:
            seen_versions[name].extend(self._versions(name))
        return {versions[-1] for versions in seen_versions.values() if versions}

    def _last_version(self, name: str) -> int:
        return max(self._versions(name), default=0)

    def _versions(self, name: str) -> Sequence[int]:
        try:
            status = curio.run(self.cluster.control.operator(name).status)
        except CranecartError:
            return []
        return [status.config_version]


def _all_have_had(
    seen_versions: Mapping[str, Sequence[int]], version: int
) -> bool:
    return all(version in versions for versions in seen_versions.values())
