"""Requests that arrive before a started node can route them wait.

All nodes lost power at once and were back after a second. In the two seconds
after that 44 requests were rejected with 'no_replica' although replicas were
serving, and 191 found no listener. A node rejected requests from 0.2 s after
'node_started' on and routed the first one at 0.42 s.
"""

import unittest

import curio

from cranecart.exceptions import (
    NoReplicaError,
    OverloadedError,
    ReplicasUnknownError,
)
from cranecart.forwarding import StartupGate


class _Node:
    """A node's state for the gate, with a clock that advances when read."""

    def __init__(self, informed_at: float) -> None:
        """Set the time from which on the node is informed."""
        self.now = float(0)
        self.informed_at = informed_at

    def is_informed(self) -> bool:
        return self.now >= self.informed_at

    def clock(self) -> float:
        self.now += 0.01
        return self.now


def _gate(node: _Node) -> StartupGate:
    return StartupGate(node.is_informed, node.clock)


class StartupGateTest(unittest.TestCase):
    """How long requests wait and which errors clients get."""

    def test_waits_until_informed(self) -> None:
        """It is let through as soon as the node is informed."""
        node = _Node(informed_at=0.4)
        curio.run(_gate(node).wait, 6.0)
        self.assertTrue(node.is_informed())
        self.assertLess(node.now, 0.45)

    def test_late_requests_are_released_last(self) -> None:
        """Slots went to requests that had missed their objective already."""
        released: list[str] = []
        curio.run(self._release, _gate(_Node(informed_at=0.4)), released)
        self.assertEqual(sorted(released[:2]), ['in time', 'in time, too'])

    def test_informed_node_does_not_wait(self) -> None:
        """It lets every request through at once."""
        node = _Node(informed_at=0)
        curio.run(_gate(node).wait, 6.0)
        self.assertLess(node.now, 0.05)

    def test_waits_for_half_of_the_deadline_at_most(self) -> None:
        """The other half of the client's time is left for the request."""
        node = _Node(informed_at=float('inf'))
        curio.run(_gate(node).wait, 0.6)
        self.assertLessEqual(node.now, 0.35)

    def test_waits_after_a_start_only(self) -> None:
        """A node that is uninformed for long rejects requests at once."""
        node = _Node(informed_at=float('inf'))
        gate = _gate(node)
        curio.run(gate.wait, None)
        self.assertLess(node.now, 1.3)
        before = node.now
        curio.run(gate.wait, None)
        self.assertLess(node.now - before, 0.05)

    def test_uninformed_node_does_not_report_no_replica(self) -> None:
        """It reports that it has not read the replicas yet."""
        error = NoReplicaError('none serves')
        uninformed = _gate(_Node(informed_at=float('inf')))
        reported = uninformed.error_for_client(error)
        self.assertIsInstance(reported, ReplicasUnknownError)
        self.assertIsNotNone(reported.retry_after)
        informed = _gate(_Node(informed_at=0))
        self.assertIs(informed.error_for_client(error), error)
        overloaded = OverloadedError('full')
        self.assertIs(uninformed.error_for_client(overloaded), overloaded)

    async def _release(self, gate: StartupGate, released: list[str]) -> None:
        async def wait(name: str) -> None:  # noqa: WPS430
            await gate.wait(6, lambda: name == 'late')
            released.append(name)

        async with curio.TaskGroup() as tasks:
            for name in ('late', 'in time', 'late', 'in time, too'):
                await tasks.spawn(wait, name)
