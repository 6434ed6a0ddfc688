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
                f'the condition did not hold within {seconds} s'
            )
        await curio.sleep(0.01)
