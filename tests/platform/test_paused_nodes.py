"""Nodes whose process did not run take no other node for silent.

A busy host may give the processes of a failure domain no processor for a
while. All of them then missed the heartbeats of that time, took themselves for the
only node, and began to read the store.
"""

import time
import unittest

import curio

from cranecart.clocks import RunningClock
from tests.lib.store_testbed import StoreTestbed, entry_row, run_scenario
from tests.lib.waiting import until

_NODES = 9
_INSTANCES = 10
_SETTLE_SECONDS = 2.0
# Longer than a heartbeat is valid.
_PAUSE_SECONDS = 1.0
# A heartbeat is valid for 0.8 s, and the next node takes over within 0.5 s; the
# change then arrives at once.
_TAKEOVER_SECONDS = 1.5
_LIST = 'list'


class PausedNodesTest(unittest.TestCase):
    """All nodes run in one process, whose event loop a test blocks."""

    def test_nodes_still_know_each_other(self) -> None:
        """They count all nodes, and rely on the same reader as before."""
        run_scenario(_NODES, _INSTANCES, _SETTLE_SECONDS, self._pause)

    def test_reader_that_is_gone(self) -> None:
        """It is replaced as soon as without a pause."""
        run_scenario(_NODES, _INSTANCES, _SETTLE_SECONDS, self._lose_reader)

    async def _pause(self, testbed: StoreTestbed) -> None:
        readers = _readers(testbed)
        _pause()
        for node in testbed.nodes.values():
            self.assertEqual(node.mesh.live_node_count(), _NODES)
        self.assertEqual(_readers(testbed), readers)
        # Their polls were not answered during the pause either.
        await curio.sleep(0.3)
        self.assertEqual(_readers(testbed), readers)

    async def _lose_reader(self, testbed: StoreTestbed) -> None:
        await testbed.kill(testbed.reader())
        _pause()
        testbed.store.put('servers', '', 'i-1', entry_row('draining', born=2))
        await until(lambda: testbed.none_uses('i-1'), _TAKEOVER_SECONDS)


class RunningClockTest(unittest.TestCase):
    """Which seconds count."""

    def test_pauses_do_not_count(self) -> None:
        """The clock goes on where it stood."""
        self.assertLess(curio.run(_seconds_over_pause), 0.3)

    def test_other_seconds_count(self) -> None:
        """An idle process runs, too."""
        self.assertAlmostEqual(
            curio.run(_seconds_over_sleep), _PAUSE_SECONDS, delta=0.1
        )

    def test_all_seconds_count_without_ticks(self) -> None:
        """Then nothing shows whether the process ran."""
        clock = RunningClock()
        started = clock()
        _pause()
        self.assertGreaterEqual(clock() - started, _PAUSE_SECONDS)


def _readers(testbed: StoreTestbed) -> dict[str, bool]:
    """Return for each node whether it relies on another one to read."""
    return {
        name: node.mesh.announced_version(_LIST) is not None
        for name, node in testbed.nodes.items()
    }


def _pause() -> None:
    """Block the event loop, as no process of a node runs."""
    time.sleep(_PAUSE_SECONDS)


async def _seconds_over_pause() -> float:
    clock = RunningClock()
    ticking = await curio.spawn(clock.run, daemon=True)
    await curio.sleep(0.05)
    started = clock()
    _pause()
    seconds = clock() - started
    await ticking.cancel()
    return seconds


async def _seconds_over_sleep() -> float:
    clock = RunningClock()
    ticking = await curio.spawn(clock.run, daemon=True)
    started = clock()
    await curio.sleep(_PAUSE_SECONDS)
    seconds = clock() - started
    await ticking.cancel()
    return seconds


if __name__ == '__main__':
    unittest.main()
