"""Clocks of a node and when to use each.

A machine may be suspended for seconds. The monotonic clock does not count
that time, and timers of the event loop use it, so they fire late by as much.
Meanwhile, other nodes have taken over duties and abandoned calls. Times that
relate to other processes (deadlines, leases, ages of reported data, idle
connections, budget windows) use ``since_boot``. The wall clock may jump and is
used for display only.

A process may also get no processor for a while. How long others have been
silent is judged by ``RunningClock``: their messages of that time are unread.
What others may have done meanwhile, such as taking over a lease, is not.
"""

import time

import attrs
import curio

# A smaller difference comes from reading the two clocks one after the other.
_MIN_SUSPENSION_SECONDS = 0.05
_TICK_SECONDS = 0.1
# Weight of the latest delay of a tick.
_DELAY_WEIGHT = 0.3
# Longer gaps between two ticks are pauses of this process.
_MAX_GAP_SECONDS = 0.2


def since_boot() -> float:
    """Return the seconds since boot, including suspensions."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def awake_seconds() -> float:
    """Return monotonic seconds, excluding suspensions, from any origin."""
    return time.monotonic()


def processor_seconds() -> float:
    """Return the processor time that this process has used so far."""
    return time.process_time()


async def sleep_and_measure(seconds: float) -> float:
    """Sleep; return by how many seconds own work has delayed the timer.

    On a machine whose processors are busy with other processes, timers are late
    although this process has little to do. That is left out.
    """
    due_at = awake_seconds() + seconds
    used_before = processor_seconds()
    await curio.sleep(seconds)
    delay = awake_seconds() - due_at
    used = processor_seconds() - used_before
    return max(0, min(delay, used))


@attrs.define
class SuspensionWatch:
    """Detects suspensions of the machine by the drift between its clocks."""

    _offset: float = attrs.field(factory=lambda: since_boot() - awake_seconds())

    def slept_seconds(self) -> float:
        """Return the seconds of suspension since the last call."""
        offset = since_boot() - awake_seconds()
        slept = offset - self._offset
        if slept < _MIN_SUSPENSION_SECONDS:
            return 0
        self._offset = offset
        return slept


@attrs.define
class RunningClock:
    """Counts the seconds in which this process runs, from any origin.

    Times at which it was paused or suspended, or its event loop was blocked,
    are left out while ``run`` runs; without that all time counts.
    """

    # By how much the process's own work delays its timers, smoothed.
    own_delay_seconds: float = attrs.field(default=0, init=False)
    _last: float = attrs.field(factory=since_boot, init=False)
    _paused_seconds: float = attrs.field(default=0, init=False)
    _is_ticking: bool = attrs.field(default=False, init=False)

    def __call__(self) -> float:
        """Return the time in seconds."""
        now = since_boot()
        gap = now - self._last
        if self._is_ticking and gap > _MAX_GAP_SECONDS:
            self._paused_seconds += gap - _TICK_SECONDS
        self._last = now
        return now - self._paused_seconds

    async def run(self) -> None:
        """Note that the process runs until cancelled."""
        self()
        self._is_ticking = True
        try:
            while True:
                self()
                self.record_own_delay(await sleep_and_measure(_TICK_SECONDS))
        finally:
            self._is_ticking = False

    def record_own_delay(self, seconds: float) -> None:
        """Record by how much own work has just delayed a timer."""
        self.own_delay_seconds += _DELAY_WEIGHT * (
            seconds - self.own_delay_seconds
        )
