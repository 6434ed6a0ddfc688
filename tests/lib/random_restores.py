"""Returns of a store among other changes, in an order that a seed draws.

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

_LOOK_SECONDS = 0.02
_HEARTBEAT_SECONDS = 1.2
# The bounds of the service, for nodes that reach a store that answers.
_LEAVING_SECONDS = 2.0
_CONFIG_SECONDS = 2.0
# What was lost is back two seconds after a return, and dropped entries lapse.
_END_SECONDS = 8.0
_CONTACT_SECONDS = 3.0
_ACTIONS = 14
_TARGETS = 12


@attrs.define
class Target:
    """An instance that writes its own entry, and writes lost ones again."""

    name: str
    born: int
    state: str = 'ready'
    acked_at: float = 0

    def write(self, store: StandinStore) -> None:
        """Make the store's row what it should be, unless it is."""
        key = ('servers', '', self.name)
        if self.state == 'gone':
            if key in store.rows:
                store.drop(*key)
            return
        if key not in store.rows or self._is_behind(store):
            store.put(*key, entry_row(self.state, born=self.born))
            self.acked_at = time.monotonic()

    def _is_behind(self, store: StandinStore) -> bool:
        earlier = StandinStore()
        key = ('servers', '', self.name)
        earlier.put(*key, entry_row(self.state, born=self.born))
        return store.rows[key][1] != earlier.rows[key][1]


@attrs.define
class RandomRestores:
    """One drawn run; ``broken`` lists what must not have been seen."""

    seed: int
    nodes: int = 3
    broken: list[str] = attrs.field(factory=list, init=False)
    _draw: random.Random = attrs.field(init=False)
    _store: StandinStore = attrs.field(init=False)
    _targets: list[Target] = attrs.field(init=False)
    _copies: list[StoreBackup] = attrs.field(factory=list, init=False)
    _version: int = attrs.field(default=10, init=False)
    _config_acked_at: float = attrs.field(default=0, init=False)
    _disturbed_at: float = attrs.field(default=0, init=False)
    # Since when nodes are in touch, and the newest version each had in force.
    _since: dict[str, float] = attrs.field(factory=dict, init=False)
    _seen: dict[str, int] = attrs.field(factory=dict, init=False)
    _started: int = attrs.field(default=0, init=False)

    async def run(self) -> list[str]:
        """Play it; return what was broken."""
        self._write_config()
        for target in self._targets:
            target.write(self._store)
        testbed = await StoreTestbed.of(self.nodes, self._store)
        self._since = dict.fromkeys(testbed.nodes, time.monotonic())
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(self._watch, testbed)
            await tasks.spawn(self._beat)
            await tasks.spawn(self._play, testbed)
        await testbed.close()
        return self.broken

    @_draw.default
    def _make_draw(self) -> random.Random:
        return random.Random(self.seed)

    @_store.default
    def _make_store(self) -> StandinStore:
        return StandinStore(era=self._draw.randint(0, 3))

    @_targets.default
    def _make_targets(self) -> list[Target]:
        return [Target(f'i-{number}', number + 1) for number in range(_TARGETS)]

    async def _play(self, testbed: StoreTestbed) -> None:
        await curio.sleep(1)
        self._copies.append(self._store.backup())
        for _number in range(_ACTIONS):
            await self._act(testbed)
            await curio.sleep(self._draw.choice((0, 0.05, 0.3, 1)))
        await self._calm(testbed)

    async def _act(self, testbed: StoreTestbed) -> None:
        actions: tuple[Callable[[StoreTestbed], object], ...] = (
            self._configure,
            self._configure,
            self._leave,
            self._leave,
            self._go,
            self._copy,
            self._cut,
        )
        waiting = (self._restore, self._restore, self._kill, self._start)
        chosen = self._draw.randrange(len(actions) + len(waiting))
        if chosen < len(actions):
            actions[chosen](testbed)
        else:
            await waiting[chosen - len(actions)](testbed)

    def _configure(self, _testbed: StoreTestbed) -> None:
        if not self._store.is_unavailable:
            self._version += self._draw.randint(1, 3)
            self._write_config()

    def _write_config(self) -> None:
        self._store.put('op', '', 'config', config_row(self._version))
        self._config_acked_at = time.monotonic()

    def _leave(self, _testbed: StoreTestbed) -> None:
        self._turn('ready', 'draining')

    def _go(self, _testbed: StoreTestbed) -> None:
        self._turn('draining', 'gone')

    def _turn(self, earlier: str, state: str) -> None:
        found = [one for one in self._targets if one.state == earlier]
        if found and not self._store.is_unavailable:
            target = self._draw.choice(found)
            target.state = state
            target.write(self._store)

    def _copy(self, _testbed: StoreTestbed) -> None:
        if not self._store.is_unavailable:
            self._copies.append(self._store.backup())

    def _cut(self, testbed: StoreTestbed) -> None:
        """Cut a node from the store, or let all reach it again."""
        cut = [node for node in testbed.nodes.values() if node.client.is_cut]
        for node in cut:
            node.client.is_cut = False
            self._since[node.name] = time.monotonic()
        if not cut and len(testbed.nodes) > 1:
            node = testbed.nodes[self._draw.choice(sorted(testbed.nodes))]
            node.client.is_cut = True

    async def _restore(self, _testbed: StoreTestbed) -> None:
        """Be away for a while and come back from a copy, maybe an old one."""
        self._store.is_unavailable = True
        await curio.sleep(self._draw.choice((0.2, 1, 2.5)))
        self._store.restore(self._draw.choice(self._copies[-3:]))
        self._disturbed_at = time.monotonic()
        await curio.sleep(self._draw.choice((0, 0.2, 0.5)))
        self._write_config()

    async def _kill(self, testbed: StoreTestbed) -> None:
        if len(testbed.nodes) > 1:
            name = self._draw.choice(sorted(testbed.nodes))
            self._since.pop(name)
            await testbed.kill(name)
            self._seen.pop(name, None)

    async def _start(self, testbed: StoreTestbed) -> None:
        self._started += 1
        name = f'node-{50 + self._started}'
        await testbed.start(name)
        self._since[name] = time.monotonic()

    async def _calm(self, testbed: StoreTestbed) -> None:
        """Let all settle; everybody then knows what the store holds."""
        for node in testbed.nodes.values():
            node.client.is_cut = False
        ready = {one.name for one in self._targets if one.state == 'ready'}
        try:
            await until(lambda: self._is_settled(testbed, ready), _END_SECONDS)
        except AssertionError:
            self.broken.extend(self._unsettled(testbed, ready))

    def _is_settled(self, testbed: StoreTestbed, ready: set[str]) -> bool:
        return not list(self._unsettled(testbed, ready))

    def _unsettled(
        self, testbed: StoreTestbed, ready: set[str]
    ) -> Iterator[str]:
        for node in testbed.nodes.values():
            known = {one.id for one in node.fleet.available(SERVICE)}
            if known != ready:
                yield f'{node.name} takes {known ^ ready} otherwise'
            if node.version != self._version:
                yield f'{node.name} has {node.version}, not {self._version}'

    async def _beat(self) -> None:
        while True:
            await curio.sleep(_HEARTBEAT_SECONDS)
            for target in self._targets:
                if not self._store.is_unavailable:
                    target.write(self._store)

    async def _watch(self, testbed: StoreTestbed) -> None:
        while True:
            await curio.sleep(_LOOK_SECONDS)
            for node in testbed.nodes.values():
                seen = self._seen.get(node.name, 0)
                if node.version < seen:
                    self.broken.append(f'{node.name} went back from {seen}')
                self._seen[node.name] = node.version
            self._check_bounds(testbed)

    def _check_bounds(self, testbed: StoreTestbed) -> None:
        now = time.monotonic()
        for node in self._in_touch(testbed, now):
            is_due = now - self._config_acked_at > _CONFIG_SECONDS
            if is_due and node.version < self._version:
                self._break(f'{node.name} has {node.version} too long')
            self._check_leaving(node, now)

    def _in_touch(
        self, testbed: StoreTestbed, now: float
    ) -> Iterator[TestbedNode]:
        if (
            self._store.is_unavailable
            or now - self._disturbed_at < _CONTACT_SECONDS
        ):
            return
        for name, since in self._since.items():
            node = testbed.nodes[name]
            if not node.client.is_cut and now - since >= _CONTACT_SECONDS:
                yield node

    def _check_leaving(self, node: TestbedNode, now: float) -> None:
        taking = {one.id for one in node.fleet.available(SERVICE)}
        for target in self._targets:
            is_due = now - target.acked_at > _LEAVING_SECONDS
            if target.state == 'draining' and is_due and target.name in taking:
                self._break(f'{node.name} takes {target.name} too long')

    def _break(self, what: str) -> None:
        if what not in self.broken:
            self.broken.append(what)


def main(words: list[str]) -> int:
    """Play seeds; return how many broke something."""
    first, last, *rest = map(int, words)
    failed = 0
    for seed in range(first, last + 1):
        run_of_seed = RandomRestores(seed, *rest)
        broken = curio.run(run_of_seed.run)
        failed += bool(broken)
        sys.stderr.write(f'seed {seed}: {broken or "nothing broken"}\n')
    return failed


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
