"""Stalled replicas and unreachable targets."""

import contextlib
import itertools
import socket
import time
import unittest

import curio

from cranecart.exceptions import HttpError
from cranecart.http import HttpConnection, ServerLimits
from cranecart.ports import Incarnation
from cranecart.routing import OutlierEjection, RoutingRequest
from cranecart.routing._stalls import StallDetector
from tests.lib.fake_targets import (
    CONFIG,
    ENGINES,
    MODEL,
    Exchange,
    GatewayTestbed,
    client_request,
)
from tests.lib.waiting import until

# Clearly longer than the silence that is tolerated by default.
_STALL_SECONDS = 0.3
_USUAL_SECONDS = 0.1
# How long a response may be unread before the target cuts it off.
_CUT_SECONDS = 1.5
# Consecutive failures after which a target is ejected.
_EJECTION_FAILURES = 3
_REQUEST = RoutingRequest(CONFIG, CONFIG.routes[0], ENGINES, MODEL, 500, 5)


class StallDetectorTest(unittest.TestCase):
    """Streams of one replica, on a simulated clock."""

    def setUp(self) -> None:
        """Track a replica whose streams are silent for 0.1 s at most."""
        self.now = 10.0
        self.stalls = StallDetector(
            lambda _model: _USUAL_SECONDS, lambda: self.now
        )

    def test_all_streams_silent(self) -> None:
        """Two begun streams without events show a stall."""
        with self.stalls.track_stream('head') as first:
            with self.stalls.track_stream('head') as second:
                first.record_event()
                second.record_event()
                self.now += 0.14
                self.assertFalse(self.stalls.is_stalled('head', 'm'))
                self.now += 0.02
                self.assertTrue(self.stalls.is_stalled('head', 'm'))
                first.record_event()
                self.assertFalse(self.stalls.is_stalled('head', 'm'))

    def test_one_silent_stream_is_no_evidence(self) -> None:
        """It may be waiting for the prompts of others."""
        with self.stalls.track_stream('head') as first:
            first.record_event()
            self.now += 5
            self.assertFalse(self.stalls.is_stalled('head', 'm'))

    def test_streams_without_an_event_do_not_count(self) -> None:
        """They may be waiting for a slot or for their prompt."""
        with (
            self.stalls.track_stream('head'),
            self.stalls.track_stream('head') as first,
        ):
            first.record_event()
            self.now += 5
            self.assertFalse(self.stalls.is_stalled('head', 'm'))

    def test_ended_streams_do_not_count(self) -> None:
        """A replica without streams is not considered stalled."""
        for _stream in range(3):
            with self.stalls.track_stream('head') as first:
                first.record_event()
        self.now += 5
        self.assertFalse(self.stalls.is_stalled('head', 'm'))


class StalledReplicaTest(unittest.TestCase):
    """A replica that lost a member but still accepts connections."""

    def test_new_requests_avoid_a_stalled_replica(self) -> None:
        """Otherwise requests miss their objective there for over a second."""
        testbed = GatewayTestbed(_never_called, _never_called)
        stalled = Incarnation(testbed.targets[0].name)
        with contextlib.ExitStack() as streams:
            for _stream in range(2):
                tracking = testbed.router.stalls.track_stream(stalled)
                streams.enter_context(tracking).record_event()
            time.sleep(_STALL_SECONDS)
            chosen = {
                testbed.router.choose(_REQUEST).instance.id
                for _request in range(20)
            }
        self.assertEqual(chosen, {testbed.targets[1].name})


class UnreadStreamsTest(unittest.TestCase):
    """A replica that sends to clients that do not read."""

    def setUp(self) -> None:
        """Limit the kernel, which would accept megabytes otherwise."""
        self.testbed = GatewayTestbed(_send_without_end)
        self.testbed.server.limits = ServerLimits(unread_bytes=10_000_000)

    def test_replica_is_not_stalled(self) -> None:
        """Otherwise requests that are read avoid it or are moved away."""
        curio.run(self.testbed.run, self._stop_reading)

    def test_replica_is_released_at_the_deadline(self) -> None:
        """Otherwise it counts as loaded for as long as the client stays."""
        curio.run(self.testbed.run, self._outlast_deadline)

    async def _stop_reading(self, testbed: GatewayTestbed) -> None:
        clients = [
            await HttpConnection.open(testbed.server.address) for _ in range(2)
        ]
        for number, client in enumerate(clients):
            request = client_request('/stream/', request_id=f'r{number}')
            await client.send(request)
        unread = testbed.server.unread
        await until(lambda: unread.response_count == len(clients))
        # Unread for at least 0.5 s by then.
        target = Incarnation(testbed.targets[0].name)
        self.assertFalse(testbed.router.stalls.is_stalled(target, MODEL))
        for client in clients:
            await client.close()

    async def _outlast_deadline(self, testbed: GatewayTestbed) -> None:
        client = await HttpConnection.open(testbed.server.address)
        await client.send(client_request('/stream/', deadline_ms=1500))
        name = testbed.targets[0].name
        await until(lambda: testbed.router.load(name))
        await until(lambda: not testbed.router.load(name))
        self.assertEqual(testbed.server.unread.cut_count, 1)
        await client.close()


class CutUnreadStreamsTest(unittest.TestCase):
    """A target that cuts off streams which stay unread."""

    def test_target_is_not_ejected(self) -> None:
        """Otherwise clients that pause take a healthy target out of use."""
        curio.run(GatewayTestbed(_cut_when_unread).run, self._pause)

    async def _pause(self, testbed: GatewayTestbed) -> None:
        clients = [
            await HttpConnection.open(testbed.server.address)
            for _ in range(_EJECTION_FAILURES)
        ]
        for number, client in enumerate(clients):
            request = client_request(
                '/stream/', request_id=f'r{number}', deadline_ms=6000
            )
            await client.send(request)
        target = testbed.targets[0]
        await until(lambda: target.closed == len(clients))
        for client in clients:
            with contextlib.suppress(HttpError):
                await _read_on(client)
            await client.close()
        await until(lambda: not testbed.router.load(target.name))
        ejection = testbed.router.ejection
        self.assertFalse(ejection.is_ejected(Incarnation(target.name)))


class UnreachableTargetTest(unittest.TestCase):
    """A failure domain is cut off while its targets are still listed."""

    def test_one_failed_connection_ejects(self) -> None:
        """Otherwise each request tried there first misses its objective."""
        ejection = OutlierEjection()
        ejection.record_failure('cut', reached=False)
        ejection.record_failure('failing')
        remaining = ejection.without_ejected([_Named('cut'), _Named('failing')])
        self.assertEqual([target.id for target in remaining], ['failing'])


class _Named:
    def __init__(self, name: str) -> None:
        self.id = name


async def _send_without_end(exchange: Exchange) -> None:
    await exchange.start_stream()
    for number in itertools.count(1):
        await exchange.chunk(b'id: %d\ndata: %b\n\n' % (number, bytes(8000)))


async def _cut_when_unread(exchange: Exchange) -> None:
    sock = exchange.sock
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65536)
    await exchange.start_stream()
    for number in itertools.count(1):
        event = b'id: %d\ndata: %b\n\n' % (number, bytes(60_000))
        try:
            await curio.timeout_after(_CUT_SECONDS, exchange.chunk, event)
        except curio.TaskTimeout as error:
            raise BrokenPipeError from error


async def _read_on(client: HttpConnection) -> None:
    head = await client.read_head()
    assert head.is_success
    while await client.read_chunk():
        """Discard it."""


async def _never_called(_exchange: Exchange) -> None:
    """Serve as a target that receives no request."""
