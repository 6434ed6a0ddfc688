"""Run coroutines that never wait, without an event loop."""

from collections.abc import Coroutine
from typing import Any, TypeVar

Answer = TypeVar('Answer')


def run_synchronously(coroutine: Coroutine[Any, Any, Answer]) -> Answer:
    """Return what a coroutine returns; fail if it waits for anything."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError('the coroutine waits for something')
