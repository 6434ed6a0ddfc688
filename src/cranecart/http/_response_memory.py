"""Bound what is kept of responses, of each and of all together."""

import contextlib
from collections.abc import Callable, Generator
from typing import Self

import attrs

from cranecart.exceptions import MessageTooLargeError, ReceiveMemoryError

_MEGABYTE = 1_000_000
# Enough for an event with an image or a sound in it.
_MAX_EVENT_BYTES = 4 * _MEGABYTE
_MAX_BODY_BYTES = 8 * _MEGABYTE
_MAX_TOTAL_BYTES = 2 * _MAX_BODY_BYTES


@attrs.frozen
class ResponseLimits:
    """Bounds on what is kept of received responses, in bytes.

    ``event_bytes`` applies to each event of a stream, ``body_bytes`` to each
    body that is passed on as a whole, ``total_bytes`` to all incomplete events
    and all bodies together.
    """

    event_bytes: float = _MAX_EVENT_BYTES
    body_bytes: float = _MAX_BODY_BYTES
    total_bytes: float = _MAX_TOTAL_BYTES

    @classmethod
    def from_megabytes(cls, *, event: float, body: float, total: float) -> Self:
        """Return bounds given in megabytes, of which 0 is none."""
        return cls(_bytes_of(event), _bytes_of(body), _bytes_of(total))


@attrs.define(eq=False)
class ResponseMemory:
    """What is kept of all responses.

    ``held_bytes`` is how much it is now. ``too_large_count`` counts the
    responses that were too large themselves, ``cut_count`` those that were cut
    off as all together were.
    """

    limits: ResponseLimits = attrs.field(factory=ResponseLimits)
    held_bytes: int = attrs.field(default=0, init=False)
    too_large_count: int = attrs.field(default=0, init=False)
    cut_count: int = attrs.field(default=0, init=False)
    # The responses that are being received and of which something is kept.
    _receiving: set['HeldResponse'] = attrs.field(factory=set, init=False)

    @contextlib.contextmanager
    def sending(self, size: int) -> Generator[None, None, None]:
        """Count a complete body while it is sent to its client."""
        self.held_bytes += size
        try:
            self._make_room()
            yield
        finally:
            self.held_bytes -= size

    def counts(self) -> dict[str, int]:
        """Return the metrics by name."""
        return {
            'response_bytes': self.held_bytes,
            'responses_too_large': self.too_large_count,
            'responses_cut': self.cut_count,
        }

    def record_size(self, held: 'HeldResponse', change: int) -> None:
        """Record that a response has grown or shrunk by some bytes."""
        self.held_bytes += change
        if held.size:
            self._receiving.add(held)
        else:
            self._receiving.discard(held)
        if change > 0:
            self._make_room()

    def _make_room(self) -> None:
        """Cut the largest responses off until the others fit.

        Those without end grow the fastest, so that others are not affected.
        """
        while self._receiving and self.held_bytes > self.limits.total_bytes:
            largest = max(self._receiving, key=lambda held: held.size)
            self.cut_count += 1
            largest.cut(self.held_bytes)


def _keep() -> None:
    """Have nothing to discard."""


@attrs.define(eq=False)
class HeldResponse:
    """What is kept of one response from ``_sender``, ``size`` bytes.

    ``_discard`` is called when it is cut off.
    """

    memory: ResponseMemory = attrs.field(factory=ResponseMemory)
    _sender: str = 'the target'
    _discard: Callable[[], object] = _keep
    size: int = attrs.field(default=0, init=False)
    _cut_reason: str = attrs.field(default='', init=False)

    def check_event(self, size: int) -> None:
        """Raise ``MessageTooLargeError`` if an event is too large."""
        self._check_size('an event', size, self.memory.limits.event_bytes)

    def keep_body(self, size: int) -> None:
        """Record how much is kept of a body; raise as the checks do."""
        self._check_size('a body', size, self.memory.limits.body_bytes)
        self.keep(size)

    def keep(self, size: int) -> None:
        """Record how many bytes are kept of it; raise as ``check`` does."""
        change = size - self.size
        if change and not self._cut_reason:
            self.size = size
            self.memory.record_size(self, change)
        self.check()

    def check(self) -> None:
        """Raise ``ReceiveMemoryError`` if it was cut off."""
        if self._cut_reason:
            raise ReceiveMemoryError(self._cut_reason)

    def release(self) -> None:
        """Record that nothing is kept of it any more."""
        self._cut_reason = ''
        self.keep(0)

    def cut(self, total: int) -> None:
        """Discard it, as all responses together have ``total`` bytes."""
        reason = (
            f'the response of {self._sender} was cut off at {self.size} bytes, '
            f'as all responses at hand had {total} together, more than '
            f'{self.memory.limits.total_bytes:.0f}'
        )
        self._discard()
        self.keep(0)
        self._cut_reason = reason

    def _check_size(self, name: str, size: int, limit: float) -> None:
        if size > limit:
            self.memory.too_large_count += 1
            raise MessageTooLargeError(
                f'{self._sender} sent {name} of {size} bytes so far, '
                f'more than {limit:.0f}'
            )


def _bytes_of(megabytes: float) -> float:
    return megabytes * _MEGABYTE if megabytes else float('inf')
