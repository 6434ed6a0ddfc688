"""Large answers of the store that arrive slowly but steadily are used.

With a time limit on the whole call, an answer that is arriving was discarded
and requested again from its first byte, so that a large configuration was never
in force at nodes on slow links.
"""

import random
import time
import unittest
from collections.abc import Awaitable, Callable

import attrs
import curio

from cranecart.exceptions import PlatformUnavailableError
from cranecart.fleet import SourceFollower, StoreReachability
from cranecart.platform import OperatorRow, PlatformConfigSource, StoreClient
from cranecart.platform._store import CALL_TIMEOUT_SECONDS
from cranecart.serving._active_config import ActiveRouteConfig
from tests.lib.slow_store import SlowLinkStore
from tests.lib.store_testbed import config_row
from tests.lib.waiting import until
from tests.platform._standin import start

# A configuration has to be in force this long after it was accepted.
_IN_FORCE_SECONDS = 4.0
_LARGE_ROUTES = 1400
_LINK_RATES = (400_000, 280_000, 200_000)
_SLACK_SECONDS = 6.0


def large_config(version: int) -> dict[str, object]:
    """Return an operator's row of some 350 KB."""
    config = config_row(version)
    config['routes'] = [
        {
            **config['routes'][0],
            'name': f'route-{number:04}',
            'host': f'host-{number:04}.example',
            'sloMs': 300,
            'gapTargetMs': 200,
            'priority': number % 7,
            'resumable': True,
            'public': False,
        }
        for number in range(_LARGE_ROUTES)
    ]
    return config


@attrs.define
class FollowingNode:
    """A node that follows the configuration."""

    client: StoreClient
    reachability: StoreReachability = attrs.field(factory=StoreReachability)
    config: ActiveRouteConfig = attrs.field(factory=ActiveRouteConfig)

    @property
    def version(self) -> int:
        """Return the version of the active configuration."""
        config = self.config.current()
        return 0 if config is None else config.version

    async def run(self) -> None:
        """Follow until cancelled."""
        follower: SourceFollower[OperatorRow] = SourceFollower(
            'configuration',
            PlatformConfigSource(self.client),
            self.config.apply_from_store,  # type: ignore[arg-type]
            random.Random(1),
            reachability=self.reachability,
        )
        await follower.run()


Scenario = Callable[[SlowLinkStore, FollowingNode], Awaitable[None]]


class SlowLinkTest(unittest.TestCase):
    """A large configuration is in force in time on a slow link."""

    def test_first_read(self) -> None:
        """A node that starts reads the configuration once."""
        for rate in _LINK_RATES:
            with self.subTest(bytes_per_second=rate):
                self._run(rate, large_config(11), self._read_first)

    def test_change(self) -> None:
        """A change that arrives by the feed is read once."""
        for rate in _LINK_RATES:
            with self.subTest(bytes_per_second=rate):
                self._run(rate, config_row(10), self._read_change)

    def test_lost_history_of_another_table(self) -> None:
        """Restarted reads do not discard an answer that is arriving."""
        self._run(_LINK_RATES[0], config_row(10), self._restart_reads)

    def test_change_during_outage(self) -> None:
        """A node that lost the store reads a change once it is back."""
        self._run(_LINK_RATES[-1], config_row(10), self._read_after_outage)

    def _run(
        self, rate: float, row: dict[str, object], scenario: Scenario
    ) -> None:
        store = SlowLinkStore()
        store.put('op', '', 'config', row)
        store.bytes_per_second = rate
        curio.run(_with_node, store, scenario)

    async def _read_first(
        self, store: SlowLinkStore, node: FollowingNode
    ) -> None:
        await until(lambda: node.version == 11, _IN_FORCE_SECONDS)
        self._check_read_once(store)

    async def _read_change(
        self, store: SlowLinkStore, node: FollowingNode
    ) -> None:
        await until(lambda: node.version == 10)
        store.put('op', '', 'config', large_config(11))
        await until(lambda: node.version == 11, _IN_FORCE_SECONDS)
        self._check_read_once(store)

    async def _restart_reads(
        self, store: SlowLinkStore, node: FollowingNode
    ) -> None:
        await until(lambda: node.version == 10)
        await curio.sleep(0.1)
        store.sent_bytes = 0
        store.put('op', '', 'config', large_config(11))
        await until(lambda: store.sent_bytes > 300_000)
        await node.reachability.restart_reads()
        await until(lambda: node.version == 11, _IN_FORCE_SECONDS)
        self._check_read_once(store)

    async def _read_after_outage(
        self, store: SlowLinkStore, node: FollowingNode
    ) -> None:
        await until(lambda: node.version == 10)
        store.is_unavailable = True
        await curio.sleep(1)
        store.put('op', '', 'config', large_config(11))
        store.is_unavailable = False
        await until(lambda: node.version == 11, _IN_FORCE_SECONDS)

    def _check_read_once(self, store: SlowLinkStore) -> None:
        row_bytes = len(store.rows['op', '', 'config'][1])
        self.assertLess(store.sent_bytes, 1.5 * row_bytes)


class SilentStoreTest(unittest.TestCase):
    """A store that falls silent within an answer is left in time."""

    def test_silent_within_an_answer(self) -> None:
        """The call fails once nothing has arrived for its timeout."""
        store = SlowLinkStore(silent_after_bytes=100_000)
        store.put('op', '', 'config', large_config(11))
        started = time.monotonic()
        with self.assertRaises(PlatformUnavailableError):
            curio.run(_read, store)
        self.assertLess(
            time.monotonic() - started, CALL_TIMEOUT_SECONDS + _SLACK_SECONDS
        )


async def _read(store: SlowLinkStore) -> None:
    task, address = await start(store)
    try:
        await PlatformConfigSource(StoreClient(address)).snapshot()
    finally:
        await task.cancel()


async def _with_node(store: SlowLinkStore, scenario: Scenario) -> None:
    task, address = await start(store)
    node = FollowingNode(StoreClient(address))
    following = await curio.spawn(node.run)
    try:
        await scenario(store, node)
    finally:
        await following.cancel()
        await task.cancel()
