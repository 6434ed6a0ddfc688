"""Clocks of a node and when to use each.

A machine may be suspended for seconds. The monotonic clock does not count
that time, and timers of the event loop use it, so they fire late by as much.
Meanwhile, other nodes have taken over duties and abandoned calls. Times that
relate to other processes (deadlines, leases, ages of reported data, idle
connections, budget windows) use ``since_boot``. The wall clock may jump and is
used for display only.
"""

import time

import attrs

# A smaller difference comes from reading the two clocks one after the other.
_MIN_SUSPENSION_SECONDS = 0.05


def since_boot() -> float:
    """Return the seconds since boot, including suspensions."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def awake_seconds() -> float:
    """Return monotonic seconds, excluding suspensions, from any origin."""
    return time.monotonic()


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
