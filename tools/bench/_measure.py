"""Read resource usage and counters of running processes."""

import os
import re
import statistics
import time
from pathlib import Path
from typing import Self

import attrs
import curio

from cranecart.http import Address, Request, exchange

_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
_CONTROL_COUNTER = re.compile(r'cranecart_control\{what="(\w+)"\} (\d+)')
_MILLISECONDS = 1000
_KIB = 1024
# Field positions in /proc/PID/stat after the command name.
_USER_TIME = 11
_SYSTEM_TIME = 12


@attrs.frozen
class Usage:
    """Resource usage of a process since its start."""

    at: float
    cpu_ms: float
    memory_mb: float
    counts: dict[str, int] = attrs.field(factory=dict)

    @classmethod
    def of_process(cls, pid: int) -> Self:
        """Read processor time and resident memory of a process."""
        stat = Path(f'/proc/{pid}/stat').read_text('ascii')
        fields = stat.rpartition(')')[2].split()
        ticks = int(fields[_USER_TIME]) + int(fields[_SYSTEM_TIME])
        status = Path(f'/proc/{pid}/status').read_text('ascii')
        resident = re.search(r'VmRSS:\s+(\d+)', status)
        memory = int(resident.group(1)) / _KIB if resident else 0
        return cls(
            time.monotonic(),
            ticks / _TICKS_PER_SECOND * _MILLISECONDS,
            memory,
        )

    @classmethod
    def of_node(cls, pid: int, admin: Address) -> Self:
        """Read resource usage and control-plane counters of a node."""
        metrics = curio.run(exchange, admin, Request('GET', '/metrics'), 5)
        counts = {
            name: int(number)
            for name, number in _CONTROL_COUNTER.findall(metrics.body.decode())
        }
        return attrs.evolve(cls.of_process(pid), counts=counts)

    def rates_since(self, before: 'Usage') -> dict[str, float]:
        """Return the usage per second since an earlier reading."""
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
    """A linear fit; ``error`` is its root mean square error."""

    base: float
    slope: float
    error: float

    @classmethod
    def through(cls, points: list[tuple[float, float]]) -> Self:
        """Fit by least squares."""
        sizes = [size for size, _ in points]
        measurements = [measured for _, measured in points]
        slope, base = statistics.linear_regression(sizes, measurements)
        line = cls(base, slope, 0)
        squares = [(measured - line.at(size)) ** 2 for size, measured in points]
        return attrs.evolve(line, error=statistics.fmean(squares) ** 0.5)

    def at(self, size: float) -> float:
        """Return the fitted value at a size."""
        return self.base + self.slope * size
