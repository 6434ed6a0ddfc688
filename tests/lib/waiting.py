"""Wait for a condition in a test, with a timeout."""

import time
from collections.abc import Callable

import curio


async def until(condition: Callable[[], object], seconds: float = 3) -> None:
    """Poll until a condition holds; fail after the timeout."""
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(
                'the condition did not hold before the timeout'
            )
        await curio.sleep(0.01)
