"""A node that gets most new connections serves what it reads.

The balancer may send most new connections of a failure domain to one node. One
that read all their requests had no time left for any of them. A connection that
is closed unread lets its client try another node at once.
"""

import heapq
import random
import unittest

import attrs
import curio

from cranecart.clocks import RunningClock
from cranecart.exceptions import HttpError
from cranecart.http import (
    Address,
    HttpConnection,
    HttpServer,
    Request,
    Responder,
    Response,
)
from cranecart.serving._connection_gate import ConnectionGate

_USUAL_PER_SECOND = 60.0
_CROWD_PER_SECOND = 600.0
# Processor time of a request; 200 a second are the node's capacity.
_REQUEST_SECONDS = 0.005
_CROWD_SECONDS = 10.0
# When the acceptance rule begins to count, and which share of the requests that
# were read has to be served.
_CONTACT_SECONDS = 3.0
_MIN_SERVED_FRACTION = 0.75
_PATIENCE_SECONDS = 1.0
_TICK_SECONDS = 0.1
_TICK = 'tick'
_CONNECTION = 'connection'


@attrs.define
class CrowdedNode:
    """A node whose requests wait for its processor, in simulated time."""

    gate: ConnectionGate
    clock: RunningClock
    now: float = 0
    busy_until: float = 0
    # When each request that was read came, and when it was done.
    read: list[tuple[float, float]] = attrs.field(factory=list)

    def run(self) -> None:
        """Let a crowd come for a while."""
        draw = random.Random(1)
        events = [(self.now, _TICK), (self.now, _CONNECTION)]
        while self.now < _CROWD_SECONDS:
            event = heapq.heappop(events)
            self.now = event[0]
            if event[1] == _TICK:
                # A timer runs behind the work that is there already.
                self.clock.record_own_delay(max(0, self.busy_until - self.now))
                tick_at = max(self.busy_until, self.now) + _TICK_SECONDS
                heapq.heappush(events, (tick_at, _TICK))
            else:
                self._connect()
                gap = draw.expovariate(_CROWD_PER_SECOND)
                heapq.heappush(events, (self.now + gap, _CONNECTION))

    def served_fraction(self) -> float:
        """Return the share of the requests read that is served in time."""
        counted = [
            done - came for came, done in self.read if came > _CONTACT_SECONDS
        ]
        served = [seconds < _PATIENCE_SECONDS for seconds in counted]
        return sum(served) / len(counted)

    def _connect(self) -> None:
        if self.gate.admits():
            self.busy_until = max(self.busy_until, self.now) + _REQUEST_SECONDS
            self.read.append((self.now, self.busy_until))


class CrowdTest(unittest.TestCase):
    """Three times as many connections as a node has time for."""

    def test_crowd_at_one_node(self) -> None:
        """Most of the requests that it reads are served."""
        node = self._node(has_live_peers=True)
        node.run()
        self.assertGreaterEqual(node.served_fraction(), _MIN_SERVED_FRACTION)
        self.assertGreater(len(node.read), _USUAL_PER_SECOND * _CROWD_SECONDS)

    def test_only_node(self) -> None:
        """Without another node that could take them, none is closed."""
        node = self._node(has_live_peers=False)
        node.run()
        self.assertEqual(node.gate.closed_unread, 0)

    def test_calm_node(self) -> None:
        """A node with time left takes all connections."""
        gate = self._node(has_live_peers=True).gate
        self.assertTrue(all(gate.admits() for _number in range(1000)))

    def test_never_closed_to_all(self) -> None:
        """A node that reports to be ready takes some in any case."""
        node = self._node(has_live_peers=True)
        node.clock.record_own_delay(60)
        admitted = sum(node.gate.admits() for _number in range(1000))
        self.assertGreater(admitted, 100)
        self.assertLess(admitted, 500)

    def _node(self, *, has_live_peers: bool) -> CrowdedNode:
        clock = RunningClock()
        gate = ConnectionGate(clock, lambda: has_live_peers)
        return CrowdedNode(gate, clock)


class ClosedUnreadTest(unittest.TestCase):
    """How a server closes connections that it has no time for."""

    def test_request_is_not_read(self) -> None:
        """The client sees the end; kept connections go on."""
        curio.run(self._connect)

    async def _connect(self) -> None:
        admitted = [True, False]
        handled: list[str] = []

        async def handle(request: Request, responder: Responder) -> None:  # noqa: WPS430
            handled.append(request.target)
            await responder.send(Response(200))

        server = HttpServer(
            Address('127.0.0.1', 0),
            handle,
            admits_connection=lambda: admitted.pop(0),
        )
        server.open()
        task = await curio.spawn(server.run)
        await self._ask_twice(server.address)
        await task.cancel()
        self.assertEqual(handled, ['/first', '/third'])

    async def _ask_twice(self, address: Address) -> None:
        kept = await HttpConnection.open(address)
        await kept.send_and_read_head(Request('GET', '/first'))
        await kept.read_body()
        kept.reset()
        closed = await HttpConnection.open(address)
        with self.assertRaises(HttpError):
            await closed.send_and_read_head(Request('GET', '/second'))
        await kept.send_and_read_head(Request('GET', '/third'))
        await kept.close()
        await closed.close()


if __name__ == '__main__':
    unittest.main()
