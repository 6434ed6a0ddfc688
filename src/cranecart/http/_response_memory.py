"""Bound what is kept of responses while they are received."""

from typing import Self

import attrs

from cranecart.exceptions import MessageTooLargeError

_MEGABYTE = 1_000_000
# Enough for an event with an image or a sound in it.
_MAX_EVENT_BYTES = 4 * _MEGABYTE
_MAX_BODY_BYTES = 8 * _MEGABYTE


@attrs.frozen
class ResponseLimits:
    """Bounds on what is kept of received responses, in bytes.

    ``event_bytes`` applies to each event of a stream, ``body_bytes`` to each
    body that is passed on as a whole.
    """

    event_bytes: float = _MAX_EVENT_BYTES
    body_bytes: float = _MAX_BODY_BYTES

    @classmethod
    def from_megabytes(cls, *, event: float, body: float) -> Self:
        """Return bounds given in megabytes, of which 0 is none."""
        return cls(_bytes_of(event), _bytes_of(body))


@attrs.define(eq=False)
class ResponseMemory:
    """What is kept of all responses.

    ``too_large_count`` counts those that were given up as too large.
    """

    limits: ResponseLimits = attrs.field(factory=ResponseLimits)
    too_large_count: int = attrs.field(default=0, init=False)


@attrs.define(eq=False)
class HeldResponse:
    """What is kept of one response from ``_sender``."""

    memory: ResponseMemory = attrs.field(factory=ResponseMemory)
    _sender: str = 'the target'

    def check_event(self, size: int) -> None:
        """Raise ``MessageTooLargeError`` if an event is too large."""
        self._check('an event', size, self.memory.limits.event_bytes)

    def check_body(self, size: int) -> None:
        """Raise ``MessageTooLargeError`` if a body is too large."""
        self._check('a body', size, self.memory.limits.body_bytes)

    def _check(self, name: str, size: int, limit: float) -> None:
        if size > limit:
            self.memory.too_large_count += 1
            raise MessageTooLargeError(
                f'{self._sender} sent {name} of {size} bytes so far, '
                f'more than {limit:.0f}'
            )


def _bytes_of(megabytes: float) -> float:
    return megabytes * _MEGABYTE if megabytes else float('inf')
