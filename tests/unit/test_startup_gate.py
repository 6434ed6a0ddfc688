"""Requests that come while a node does not know yet where they may go.

All nodes lost power at once and were back after a second. In the two seconds
after that, 44 requests were told that no whole replica serves, where replicas
did serve, and 191 found no listener: 'no_replica' at 0.2 s after
'node_started', the first 'routed' at 0.42 s.
"""

import unittest

import curio

from cranecart.exceptions import (
    NoReplicaError,
    NotInformedError,
    OverloadedError,
)
from cranecart.forwarding import StartupGate


class _Node:
    """What a gate asks a node, and a clock that moves when it is asked."""

    def __init__(self, informed_at: float) -> None:
        """Know enough from a time on."""
        self.now = float(0)
        self.informed_at = informed_at

    def is_informed(self) -> bool:
        return self.now >= self.informed_at

    def clock(self) -> float:
        self.now += 0.01
        return self.now


def _gate(node: _Node) -> StartupGate:
    return StartupGate(node.is_informed, node.clock)


class StartGateTest(unittest.TestCase):
    """How long a request waits, and what it is told."""

    def test_waits_until_informed(self) -> None:
        """It is let through as soon as the node knows."""
        node = _Node(informed_at=0.4)
        curio.run(_gate(node).wait, 6.0)
        self.assertTrue(node.is_informed())
        self.assertLess(node.now, 0.45)

    def test_an_informed_node_lets_everything_through(self) -> None:
        """Nothing waits there."""
        node = _Node(informed_at=0)
        curio.run(_gate(node).wait, 6.0)
        self.assertLess(node.now, 0.05)

    def test_its_client_keeps_time_to_be_served(self) -> None:
        """At most half of what its client has left is spent waiting."""
        node = _Node(informed_at=float('inf'))
        curio.run(_gate(node).wait, 0.6)
        self.assertLessEqual(node.now, 0.35)

    def test_only_a_start_is_waited_for(self) -> None:
        """A node that learns nothing for long refuses at once."""
        node = _Node(informed_at=float('inf'))
        gate = _gate(node)
        curio.run(gate.wait, None)
        self.assertLess(node.now, 1.3)
        before = node.now
        curio.run(gate.wait, None)
        self.assertLess(node.now - before, 0.05)

    def test_an_ignorant_node_denies_no_replica(self) -> None:
        """That it does not know yet is another answer."""
        error = NoReplicaError('none serves')
        ignorant = _gate(_Node(informed_at=float('inf')))
        told = ignorant.error_for_client(error)
        self.assertIsInstance(told, NotInformedError)
        self.assertIsNotNone(told.retry_after)
        informed = _gate(_Node(informed_at=0))
        self.assertIs(informed.error_for_client(error), error)
        overloaded = OverloadedError('full')
        self.assertIs(ignorant.error_for_client(overloaded), overloaded)
