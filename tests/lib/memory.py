"""What a process uses, as the kernel tells it."""

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
