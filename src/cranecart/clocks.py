"""The clocks of a node, and which is for what.

A machine may be suspended for seconds. The steady clock does not count that
time, and timers of the event loop go by it, so that they fire late by as much;
others have meanwhile taken duties over and given calls up. Whatever is compared
with the outside (deadlines, leases, ages of what others told, idle connections,
windows of budgets) goes by ``since_boot``. The time of day may jump, and is for
people only.
"""

import time

import attrs

# Below it a drift of the two clocks is that of reading one after the other.
_LEAST_SECONDS = 0.05


def since_boot() -> float:
    """Return the seconds since the machine started, suspensions included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def awake_seconds() -> float:
    """Return seconds that a suspension leaves out; they start anywhere."""
    return time.monotonic()


@attrs.define
class SuspensionWatch:
    """Notices that the machine was suspended, as its two clocks drift apart."""

    _apart: float = attrs.field(factory=lambda: since_boot() - awake_seconds())

    def slept_seconds(self) -> float:
        """Return for how long the machine was suspended since last asked."""
        apart = since_boot() - awake_seconds()
        slept = apart - self._apart
        if slept < _LEAST_SECONDS:
            return 0
        self._apart = apart
        return slept
