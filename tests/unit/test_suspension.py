"""A node that was suspended does not treat its state as recent.

The monotonic clock does not advance during a suspension, so times measured by
it are too short after a resume. A placer that resumed after eight seconds used
a lease that another had taken meanwhile, a call got more time than its client
had left, and closed connections and dead nodes counted as recent.
"""

import contextlib
import re
import time
import unittest
from collections.abc import Generator
from pathlib import Path
from unittest.mock import patch

from cranecart.clocks import SuspensionWatch
from cranecart.exceptions import LeaseLostError
from cranecart.forwarding import TargetConnectionPool
from cranecart.leases import Lease, LeaseTimeouts
from cranecart.mesh import Heartbeat
from cranecart.mesh._peer_state import PeerState
from cranecart.retries import RetryLimits, SharedRetryBudget
from cranecart.routing import OutlierEjection
from cranecart.targets import ServiceCall
from tests.lib.fake_platform import FakePlatform
from tests.lib.synchronous import run_synchronously

_SUSPENSION_SECONDS = 20


_SOURCES = Path(__file__).parents[2] / 'src' / 'cranecart'
# These measure only their own work, or are stand-ins for other systems.
_EXEMPT_PATHS = frozenset(
    ('clocks.py', 'load_testing', 'simulation', 'standins')
)


@contextlib.contextmanager
def _suspended(
    seconds: float = _SUSPENSION_SECONDS,
) -> Generator[None, None, None]:
    """Simulate a suspension, which only the monotonic clock does not count."""
    real_clock_gettime = time.clock_gettime
    real_time = time.time

    def shifted(clock: int) -> float:  # noqa: WPS430
        offset = seconds if clock == time.CLOCK_BOOTTIME else 0
        return real_clock_gettime(clock) + offset

    with (
        patch('time.clock_gettime', shifted),
        patch('time.time', lambda: real_time() + seconds),
    ):
        yield


class SuspensionTest(unittest.TestCase):
    """State of a node right after it resumed."""

    def test_lease_is_lost_during_suspension(self) -> None:
        """A lease is not held any more, so no order is given under it."""
        lease = Lease('placing', 'n0', FakePlatform(), LeaseTimeouts())
        self.assertTrue(run_synchronously(lease.acquire_or_renew()))
        with _suspended():
            self.assertFalse(lease.is_held)
            with self.assertRaises(LeaseLostError):
                lease.check()

    def test_call_deadline_includes_suspension(self) -> None:
        """A call does not get more time than its caller has left."""
        call = ServiceCall(
            request_id='r',
            organisation='org',
            body=b'',
            deadline=time.clock_gettime(time.CLOCK_BOOTTIME) + 5,
            service='crew',
            path='/',
            method='GET',
        )
        with _suspended():
            self.assertEqual(call.seconds_left, 0)

    def test_suspension_is_detected_once(self) -> None:
        """A suspension is reported once, with its length.

        A slow read of the two clocks is no suspension.
        """
        watch = SuspensionWatch()
        self.assertEqual(watch.slept_seconds(), 0)
        with _suspended():
            self.assertAlmostEqual(
                watch.slept_seconds(), _SUSPENSION_SECONDS, 1
            )
            self.assertEqual(watch.slept_seconds(), 0)

    def test_ages_include_suspension(self) -> None:
        """Ages of heartbeats, connections, retries and failures include it."""
        peer_state = PeerState('n0', 'east')
        peer_state.record_heartbeat(Heartbeat('n1', 'a', 'east', 1, 0, {}))
        self.assertTrue(peer_state.was_seen_recently('n1'))
        clocks = (
            TargetConnectionPool()._clock,
            SharedRetryBudget(RetryLimits(1, 1, 10), lambda: 1)._clock,
            OutlierEjection()._clock,
        )
        before = [clock() for clock in clocks]
        with _suspended():
            self.assertFalse(peer_state.was_seen_recently('n1'))
            for clock, earlier in zip(clocks, before, strict=True):
                self.assertGreater(clock() - earlier, _SUSPENSION_SECONDS - 1)

    def test_monotonic_clock_is_not_used(self) -> None:
        """No code that interacts with other systems uses the monotonic clock."""
        monotonic_use = re.compile(r'time\.monotonic|import monotonic')
        offending_paths = [
            str(path.relative_to(_SOURCES))
            for path in _SOURCES.rglob('*.py')
            if not _EXEMPT_PATHS & set(path.relative_to(_SOURCES).parts)
            and monotonic_use.search(path.read_text('utf-8'))
        ]
        self.assertEqual(offending_paths, [])


if __name__ == '__main__':
    unittest.main()
