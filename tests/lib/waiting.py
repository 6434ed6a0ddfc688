"""Wait for something in a test, but not for ever."""

import time
from collections.abc import Callable

import curio


async def until(holds: Callable[[], object], seconds: float = 3) -> None:
    """Wait for something; fail if it does not come."""
    ends = time.monotonic() + seconds
    while not holds():
        if time.monotonic() > ends:
            raise AssertionError('it did not come in time')
        await curio.sleep(0.01)
