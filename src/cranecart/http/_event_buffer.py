"""Collect the bytes of a stream until they complete an event."""

import attrs

from cranecart.exceptions import HttpError
from cranecart.http._response_memory import HeldResponse

EVENT_END = b'\n\n'


@attrs.define
class EventBuffer:
    """Returns complete events, and keeps the bytes of an incomplete one.

    Received bytes are searched once, so that an event in many parts costs no
    more than its size. ``held`` bounds the size of each event.
    """

    held: HeldResponse = attrs.field(factory=HeldResponse)
    _partial: bytearray = attrs.field(factory=bytearray, init=False)

    @property
    def size(self) -> int:
        """Return the number of bytes of the incomplete event."""
        return len(self._partial)

    def feed(self, chunk: bytes) -> bytes:
        """Add received bytes; return the events that are complete by now.

        Raise ``MessageTooLargeError`` at an event that is too large, whether it
        is complete or not, and ``ReceiveMemoryError`` if there is no room for an
        incomplete one.
        """
        complete_end = self._find_complete_end(chunk)
        complete = chunk[:complete_end]
        if self._partial and complete_end:
            complete = bytes(self._partial + complete)
            self._partial = bytearray()
        self._partial += chunk[complete_end:]
        try:
            self._check_sizes(complete)
            self.held.keep(len(self._partial))
        except HttpError:
            self.clear()
            raise
        return complete

    def clear(self) -> None:
        """Discard an incomplete event."""
        self._partial = bytearray()

    def _check_sizes(self, complete: bytes) -> None:
        # The end of an event may have arrived in part.
        is_ending = self._partial.endswith(EVENT_END[:1])
        longest = len(self._partial) - is_ending
        if len(complete) > self.held.memory.limits.event_bytes:
            longest = max(longest, *map(len, complete.split(EVENT_END)))
        self.held.check_event(longest)

    def _find_complete_end(self, chunk: bytes) -> int:
        """Return how many bytes of a chunk belong to complete events."""
        found_at = chunk.rfind(EVENT_END)
        if found_at >= 0:
            return found_at + len(EVENT_END)
        first, second = EVENT_END[:1], EVENT_END[1:]
        is_split = self._partial.endswith(first) and chunk.startswith(second)
        return len(second) if is_split else 0
