"""Random restores of a store among other changes, reproducible by seed.

Usage: python -m tests.lib.random_restores FIRST LAST [NODES]
"""

import random
import sys
import time
from collections.abc import Callable, Iterator

import attrs
import curio

from tests.lib.store_testbed import (
    SERVICE,
    StoreTestbed,
    TestbedNode,
    config_row,
    entry_row,
)
from tests.lib.waiting import until
from tests.platform._standin import StandinStore, StoreBackup

_CHECK_INTERVAL_SECONDS = 0.02
_HEARTBEAT_SECONDS = 1.2
# Time limits of the service for nodes that can reach the store.
_LEAVING_SECONDS = 2.0
_CONFIG_SECONDS = 2.0
# Lost entries are written again within two seconds after a restore, and deleted
# entries lapse.
_CONVERGENCE_SECONDS = 8.0
_CONTACT_SECONDS = 3.0
_ACTION_COUNT = 14
_TARGETS = 12


@attrs.define
class Target:
    """An instance that keeps its own entry in the store up to date."""

    name: str
    born: int
    state: str = 'ready'
    written_at: float = 0

    def write(self, store: StandinStore) -> None:
        """Write or delete the entry unless the store's row is as it should be."""
        key = ('servers', '', self.name)
        if self.state == 'gone':
            if key in store.rows:
                store.drop(*key)
            return
        if key not in store.rows or self._is_outdated(store):
            store.put(*key, entry_row(self.state, born=self.born))
            self.written_at = time.monotonic()

    def _is_outdated(self, store: StandinStore) -> bool:
        earlier = StandinStore()
        key = ('servers', '', self.name)
        earlier.put(*key, entry_row(self.state, born=self.born))
        return store.rows[key][1] != earlier.rows[key][1]


@attrs.define
class RandomRestores:
    """One random run; ``violations`` lists what must not have happened."""

    seed: int
    nodes: int = 3
    violations: list[str] = attrs.field(factory=list, init=False)
    _random: random.Random = attrs.field(init=False)
    _store: StandinStore = attrs.field(init=False)
    _targets: list[Target] = attrs.field(init=False)
    _backups: list[StoreBackup] = attrs.field(factory=list, init=False)
    _version: int = attrs.field(default=10, init=False)
    _config_written_at: float = attrs.field(default=0, init=False)
    _restored_at: float = attrs.field(default=0, init=False)
    # Since when each node reaches the store, and its newest active version.
    _in_contact_since: dict[str, float] = attrs.field(factory=dict, init=False)
    _seen_versions: dict[str, int] = attrs.field(factory=dict, init=False)
    _started_count: int = attrs.field(default=0, init=False)

    async def run(self) -> list[str]:
        """Run the random actions; return the violations."""
        self._write_config()
        for target in self._targets:
            target.write(self._store)
        testbed = await StoreTestbed.of(self.nodes, self._store)
        self._in_contact_since = dict.fromkeys(testbed.nodes, time.monotonic())
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(self._monitor, testbed)
            await tasks.spawn(self._send_heartbeats)
            await tasks.spawn(self._run_actions, testbed)
        await testbed.close()
        return self.violations

    @_random.default
    def _make_random(self) -> random.Random:
        return random.Random(self.seed)

    @_store.default
    def _make_store(self) -> StandinStore:
        return StandinStore(era=self._random.randint(0, 3))

    @_targets.default
    def _make_targets(self) -> list[Target]:
        return [Target(f'i-{number}', number + 1) for number in range(_TARGETS)]

    async def _run_actions(self, testbed: StoreTestbed) -> None:
        await curio.sleep(1)
        self._backups.append(self._store.backup())
        for _number in range(_ACTION_COUNT):
            await self._run_random_action(testbed)
            await curio.sleep(self._random.choice((0, 0.05, 0.3, 1)))
        await self._check_convergence(testbed)

    async def _run_random_action(self, testbed: StoreTestbed) -> None:
        sync_actions: tuple[Callable[[StoreTestbed], object], ...] = (
            self._configure,
            self._configure,
            self._drain,
            self._drain,
            self._remove,
            self._back_up,
            self._partition,
        )
        async_actions = (
            self._restore,
            self._restore,
            self._kill_node,
            self._start_node,
        )
        chosen = self._random.randrange(len(sync_actions) + len(async_actions))
        if chosen < len(sync_actions):
            sync_actions[chosen](testbed)
        else:
            await async_actions[chosen - len(sync_actions)](testbed)

    def _configure(self, _testbed: StoreTestbed) -> None:
        if not self._store.is_unavailable:
            self._version += self._random.randint(1, 3)
            self._write_config()

    def _write_config(self) -> None:
        self._store.put('op', '', 'config', config_row(self._version))
        self._config_written_at = time.monotonic()

    def _drain(self, _testbed: StoreTestbed) -> None:
        self._change_state('ready', 'draining')

    def _remove(self, _testbed: StoreTestbed) -> None:
        self._change_state('draining', 'gone')

    def _change_state(self, earlier: str, state: str) -> None:
        found = [one for one in self._targets if one.state == earlier]
        if found and not self._store.is_unavailable:
            target = self._random.choice(found)
            target.state = state
            target.write(self._store)

    def _back_up(self, _testbed: StoreTestbed) -> None:
        if not self._store.is_unavailable:
            self._backups.append(self._store.backup())

    def _partition(self, testbed: StoreTestbed) -> None:
        """Partition a node from the store, or end all partitions."""
        ended = self._end_partitions(testbed)
        if not ended and len(testbed.nodes) > 1:
            node = testbed.nodes[self._random.choice(sorted(testbed.nodes))]
            node.client.is_partitioned = True

    def _end_partitions(self, testbed: StoreTestbed) -> int:
        """Let all nodes reach the store again; return how many could not."""
        partitioned = [
            node
            for node in testbed.nodes.values()
            if node.client.is_partitioned
        ]
        for node in partitioned:
            node.client.is_partitioned = False
            self._in_contact_since[node.name] = time.monotonic()
        return len(partitioned)

    async def _restore(self, _testbed: StoreTestbed) -> None:
        """Take the store down for a while and restore one of its backups."""
        self._store.is_unavailable = True
        await curio.sleep(self._random.choice((0.2, 1, 2.5)))
        self._store.restore(self._random.choice(self._backups[-3:]))
        self._restored_at = time.monotonic()
        await curio.sleep(self._random.choice((0, 0.2, 0.5)))
        self._write_config()

    async def _kill_node(self, testbed: StoreTestbed) -> None:
        if len(testbed.nodes) > 1:
            name = self._random.choice(sorted(testbed.nodes))
            self._in_contact_since.pop(name)
            await testbed.kill(name)
            self._seen_versions.pop(name, None)

    async def _start_node(self, testbed: StoreTestbed) -> None:
        self._started_count += 1
        name = f'node-{50 + self._started_count}'
        await testbed.start(name)
        self._in_contact_since[name] = time.monotonic()

    async def _check_convergence(self, testbed: StoreTestbed) -> None:
        """Check that all nodes converge to the contents of the store."""
        self._end_partitions(testbed)
        ready = {one.name for one in self._targets if one.state == 'ready'}
        try:
            await until(
                lambda: self._has_converged(testbed, ready),
                _CONVERGENCE_SECONDS,
            )
        except AssertionError:
            self.violations.extend(self._divergences(testbed, ready))

    def _has_converged(self, testbed: StoreTestbed, ready: set[str]) -> bool:
        return not list(self._divergences(testbed, ready))

    def _divergences(
        self, testbed: StoreTestbed, ready: set[str]
    ) -> Iterator[str]:
        for node in testbed.nodes.values():
            known = {one.id for one in node.fleet.available(SERVICE)}
            if known != ready:
                yield f'{node.name} differs from the store in {known ^ ready}'
            if node.version != self._version:
                yield f'{node.name} has version {node.version}, not {self._version}'

    async def _send_heartbeats(self) -> None:
        while True:
            await curio.sleep(_HEARTBEAT_SECONDS)
            for target in self._targets:
                if not self._store.is_unavailable:
                    target.write(self._store)

    async def _monitor(self, testbed: StoreTestbed) -> None:
        while True:
            await curio.sleep(_CHECK_INTERVAL_SECONDS)
            for node in testbed.nodes.values():
                seen = self._seen_versions.get(node.name, 0)
                if node.version < seen:
                    self.violations.append(
                        f'{node.name} went back from version {seen}'
                    )
                self._seen_versions[node.name] = node.version
            self._check_bounds(testbed)

    def _check_bounds(self, testbed: StoreTestbed) -> None:
        now = time.monotonic()
        for node in self._nodes_in_contact(testbed, now):
            is_due = now - self._config_written_at > _CONFIG_SECONDS
            if is_due and node.version < self._version:
                self._report(
                    f'{node.name} had version {node.version} for too long'
                )
            self._check_leaving(node, now)

    def _nodes_in_contact(
        self, testbed: StoreTestbed, now: float
    ) -> Iterator[TestbedNode]:
        if (
            self._store.is_unavailable
            or now - self._restored_at < _CONTACT_SECONDS
        ):
            return
        for name, since in self._in_contact_since.items():
            node = testbed.nodes[name]
            if (
                not node.client.is_partitioned
                and now - since >= _CONTACT_SECONDS
            ):
                yield node

    def _check_leaving(self, node: TestbedNode, now: float) -> None:
        available = {one.id for one in node.fleet.available(SERVICE)}
        for target in self._targets:
            is_due = now - target.written_at > _LEAVING_SECONDS
            if (
                target.state == 'draining'
                and is_due
                and target.name in available
            ):
                self._report(f'{node.name} used {target.name} for too long')

    def _report(self, violation: str) -> None:
        if violation not in self.violations:
            self.violations.append(violation)


def main(arguments: list[str]) -> int:
    """Run the seeds; return how many had violations."""
    first, last, *rest = map(int, arguments)
    failed = 0
    for seed in range(first, last + 1):
        restores = RandomRestores(seed, *rest)
        violations = curio.run(restores.run)
        failed += bool(violations)
        sys.stderr.write(f'seed {seed}: violations: {violations or "none"}\n')
    return failed


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
