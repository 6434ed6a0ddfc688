"""Run coroutines that never suspend, without an event loop."""

from collections.abc import Coroutine
from typing import Any, TypeVar

Answer = TypeVar('Answer')


def run_synchronously(coroutine: Coroutine[Any, Any, Answer]) -> Answer:
    """Return the result of a coroutine; fail if it suspends."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError('the coroutine must not suspend, but did')
