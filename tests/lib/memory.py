"""What a process uses, as the kernel tells it."""

import subprocess
import unittest
from pathlib import Path


def peak_bytes(pid: int) -> int:
    """Return the most memory that a process has had at a time."""
    status = Path(f'/proc/{pid}/status').read_text('utf-8')
    return next(
        int(line.split()[1]) * 1024
        for line in status.splitlines()
        if line.startswith('VmHWM')
    )


def descriptors(pid: int) -> int:
    """Return how many file descriptors a process has open."""
    return len(list(Path(f'/proc/{pid}/fd').iterdir()))


def check_process(
    test: unittest.TestCase,
    process: subprocess.Popen[bytes],
    memory_bytes: int,
    max_descriptors: int,
) -> None:
    """Check that a process lives, and has kept within its machine's bounds."""
    test.assertIsNone(process.poll())
    test.assertLess(peak_bytes(process.pid), memory_bytes)
    test.assertLess(descriptors(process.pid), max_descriptors)
