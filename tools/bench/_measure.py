"""Read processor time, memory and counters of running processes."""

import os
import re
import statistics
import time
from pathlib import Path
from typing import Self

import attrs
import curio

from cranecart.http import Address, Request, exchange

_TICKS = os.sysconf('SC_CLK_TCK')
_CONTROL = re.compile(r'cranecart_control\{what="(\w+)"\} (\d+)')
_MILLISECONDS = 1000
_KIB = 1024
# Positions in /proc/PID/stat behind the command's name.
_USER_TIME = 11
_SYSTEM_TIME = 12


@attrs.frozen
class Usage:
    """What a process has used so far."""

    at: float
    cpu_ms: float
    memory_mb: float
    counts: dict[str, int] = attrs.field(factory=dict)

    @classmethod
    def of_process(cls, pid: int) -> Self:
        """Read a process's processor time and resident memory."""
        stat = Path(f'/proc/{pid}/stat').read_text('ascii')
        fields = stat.rpartition(')')[2].split()
        ticks = int(fields[_USER_TIME]) + int(fields[_SYSTEM_TIME])
        status = Path(f'/proc/{pid}/status').read_text('ascii')
        resident = re.search(r'VmRSS:\s+(\d+)', status)
        memory = int(resident.group(1)) / _KIB if resident else 0
        return cls(
            time.monotonic(),
            ticks / _TICKS * _MILLISECONDS,
            memory,
        )

    @classmethod
    def of_node(cls, pid: int, admin: Address) -> Self:
        """Read a node's use with its counters of control."""
        metrics = curio.run(exchange, admin, Request('GET', '/metrics'), 5)
        counts = {
            name: int(number)
            for name, number in _CONTROL.findall(metrics.body.decode())
        }
        return attrs.evolve(cls.of_process(pid), counts=counts)

    def rates_since(self, before: 'Usage') -> dict[str, float]:
        """Return what was used a second since an earlier reading."""
        seconds = self.at - before.at
        rates = {
            name: (number - before.counts.get(name, 0)) / seconds
            for name, number in self.counts.items()
        }
        rates['cpu_ms'] = (self.cpu_ms - before.cpu_ms) / seconds
        rates['memory_mb'] = self.memory_mb
        return rates


@attrs.frozen
class Line:
    """A straight line through measurements, and how well it fits.

    ``error`` is the root of the mean squared distance from the line.
    """

    base: float
    slope: float
    error: float

    @classmethod
    def through(cls, points: list[tuple[float, float]]) -> Self:
        """Fit by least squares."""
        sizes = [size for size, _ in points]
        heights = [height for _, height in points]
        slope, base = statistics.linear_regression(sizes, heights)
        line = cls(base, slope, 0)
        squares = [(height - line.at(size)) ** 2 for size, height in points]
        return attrs.evolve(line, error=statistics.fmean(squares) ** 0.5)

    def at(self, size: float) -> float:
        """Return the line's height."""
        return self.base + self.slope * size
