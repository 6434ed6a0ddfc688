"""Replicas that stand still for a node, and targets out of reach."""

import contextlib
import time
import unittest

from cranecart.ports import Incarnation
from cranecart.routing import OutlierEjection, RoutingRequest
from cranecart.routing._stalls import StallDetector
from tests.lib.fake_targets import (
    CONFIG,
    ENGINES,
    MODEL,
    Exchange,
    GatewayWorld,
)

# Clearly longer than streams are silent where nothing is known yet.
_LONG_SECONDS = 0.3
_USUAL_SECONDS = 0.1
_WANTED = RoutingRequest(CONFIG, CONFIG.routes[0], ENGINES, MODEL, 500, 5)


class PulseTest(unittest.TestCase):
    """Streams of one replica, on a clock of the test's."""

    def setUp(self) -> None:
        """Follow a replica whose streams are silent for 0.1 s at most."""
        self.now = 10.0
        self.pulse = StallDetector(
            lambda _model: _USUAL_SECONDS, lambda: self.now
        )

    def test_all_streams_silent(self) -> None:
        """Two streams that are due and get nothing show it."""
        with self.pulse.track_stream('head') as one:
            with self.pulse.track_stream('head') as other:
                one.record_event()
                other.record_event()
                self.now += 0.14
                self.assertFalse(self.pulse.is_stalled('head', 'm'))
                self.now += 0.02
                self.assertTrue(self.pulse.is_stalled('head', 'm'))
                one.record_event()
                self.assertFalse(self.pulse.is_stalled('head', 'm'))

    def test_one_stream_is_too_little(self) -> None:
        """It may wait for the prompts of others."""
        with self.pulse.track_stream('head') as one:
            one.record_event()
            self.now += 5
            self.assertFalse(self.pulse.is_stalled('head', 'm'))

    def test_streams_without_an_event_do_not_count(self) -> None:
        """They wait for a slot or for their prompt."""
        with (
            self.pulse.track_stream('head'),
            self.pulse.track_stream('head') as one,
        ):
            one.record_event()
            self.now += 5
            self.assertFalse(self.pulse.is_stalled('head', 'm'))

    def test_ended_streams_are_forgotten(self) -> None:
        """A replica without streams is not held to stand still."""
        for _stream in range(3):
            with self.pulse.track_stream('head') as one:
                one.record_event()
        self.now += 5
        self.assertFalse(self.pulse.is_stalled('head', 'm'))


class StillReplicaTest(unittest.TestCase):
    """A replica that lost a member and still takes connections."""

    def test_new_requests_go_elsewhere(self) -> None:
        """They lost their objective there for over a second."""
        world = GatewayWorld(_never, _never)
        still = Incarnation(world.targets[0].name)
        with contextlib.ExitStack() as streams:
            for _stream in range(2):
                following = world.router.stalls.track_stream(still)
                streams.enter_context(following).record_event()
            time.sleep(_LONG_SECONDS)
            chosen = {
                world.router.choose(_WANTED).instance.id
                for _request in range(20)
            }
        self.assertEqual(chosen, {world.targets[1].name})


class UnreachedTest(unittest.TestCase):
    """A failure domain is cut off, and the list still shows its targets."""

    def test_one_failed_connection_is_enough(self) -> None:
        """Each request that tried such a target lost its objective."""
        ejection = OutlierEjection()
        ejection.record_failure('cut', reached=False)
        ejection.record_failure('failing')
        left = ejection.without_ejected([_Named('cut'), _Named('failing')])
        self.assertEqual([one.id for one in left], ['failing'])


class _Named:
    def __init__(self, name: str) -> None:
        self.id = name


async def _never(_exchange: Exchange) -> None:
    """Stand for a target that is never asked."""
