"""A node that was suspended does not take what it knows for fresh.

The steady clock does not count the seconds of a suspension, and all was
measured by it: a placer that woke after eight seconds trusted the lease that
another had taken meanwhile, a call was given time that its client had not, and
connections and other nodes that had long been given up looked young.
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
from cranecart.mesh import Beat
from cranecart.mesh._peer_state import PeerState
from cranecart.retries import RetryLimits, SharedRetryBudget
from cranecart.routing import OutlierEjection
from cranecart.targets import ServiceCall
from tests.lib.fake_platform import FakePlatform
from tests.lib.run import run_now

_SLEPT_SECONDS = 20


_SOURCES = Path(__file__).parents[2] / 'src' / 'cranecart'
# What measures work of its own, or stands in for others.
_OWN_TIMES = frozenset(('clocks.py', 'emulation', 'load', 'standins'))


@contextlib.contextmanager
def _suspended(seconds: float = _SLEPT_SECONDS) -> Generator[None, None, None]:
    """Wake after a suspension: only the steady clock has not moved."""
    read = time.clock_gettime
    time_of_day = time.time

    def shifted(clock: int) -> float:  # noqa: WPS430
        late = seconds if clock == time.CLOCK_BOOTTIME else 0
        return read(clock) + late

    with (
        patch('time.clock_gettime', shifted),
        patch('time.time', lambda: time_of_day() + seconds),
    ):
        yield


class SuspensionTest(unittest.TestCase):
    """What a node believes right after it has woken."""

    def test_lease(self) -> None:
        """It gives no order by a lease that others have taken over."""
        lease = Lease('placing', 'n0', FakePlatform(), LeaseTimeouts())
        self.assertTrue(run_now(lease.acquire_or_renew()))
        with _suspended():
            self.assertFalse(lease.is_held)
            with self.assertRaises(LeaseLostError):
                lease.check()

    def test_a_callers_time(self) -> None:
        """Nothing is passed on with more time than the caller has left."""
        native = ServiceCall(
            request_id='r',
            organisation='org',
            body=b'',
            deadline=time.clock_gettime(time.CLOCK_BOOTTIME) + 5,
            service='crew',
            path='/',
            method='GET',
        )
        with _suspended():
            self.assertEqual(native.seconds_left, 0)

    def test_it_is_noticed(self) -> None:
        """Once, for as long as it lasted; drawn out reading is none."""
        watch = SuspensionWatch()
        self.assertEqual(watch.slept_seconds(), 0)
        with _suspended():
            self.assertAlmostEqual(watch.slept_seconds(), _SLEPT_SECONDS, 1)
            self.assertEqual(watch.slept_seconds(), 0)

    def test_what_is_known(self) -> None:
        """Nodes, connections, budgets and failures are as old as they are."""
        peer_state = PeerState('n0', 'east')
        peer_state.record_beat(Beat('n1', 'a', 'east', 1, 0, {}))
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
                self.assertGreater(clock() - earlier, _SLEPT_SECONDS - 1)

    def test_no_other_clock(self) -> None:
        """Nothing that is compared with the outside reads the steady clock."""
        steady = re.compile(r'time\.monotonic|import monotonic')
        reading = [
            str(path.relative_to(_SOURCES))
            for path in _SOURCES.rglob('*.py')
            if not _OWN_TIMES & set(path.relative_to(_SOURCES).parts)
            and steady.search(path.read_text('utf-8'))
        ]
        self.assertEqual(reading, [])


if __name__ == '__main__':
    unittest.main()
