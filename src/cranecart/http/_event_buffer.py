"""Collect the bytes of a stream until they complete an event."""

import attrs

EVENT_END = b'\n\n'


@attrs.define
class EventBuffer:
    """Returns complete events, and keeps the bytes of an incomplete one.

    Received bytes are searched once, so that an event in many parts costs no
    more than its size.
    """

    _partial: bytearray = attrs.field(factory=bytearray, init=False)

    @property
    def size(self) -> int:
        """Return the number of bytes of the incomplete event."""
        return len(self._partial)

    def feed(self, chunk: bytes) -> bytes:
        """Add received bytes; return the events that are complete by now."""
        complete_end = self._find_complete_end(chunk)
        if not complete_end:
            self._partial += chunk
            return b''
        rest = chunk[complete_end:]
        complete = chunk[:complete_end]
        if self._partial:
            complete = bytes(self._partial + complete)
        self._partial = bytearray(rest)
        return complete

    def clear(self) -> None:
        """Discard an incomplete event."""
        self._partial = bytearray()

    def _find_complete_end(self, chunk: bytes) -> int:
        """Return how many bytes of a chunk belong to complete events."""
        found_at = chunk.rfind(EVENT_END)
        if found_at >= 0:
            return found_at + len(EVENT_END)
        first, second = EVENT_END[:1], EVENT_END[1:]
        is_split = self._partial.endswith(first) and chunk.startswith(second)
        return len(second) if is_split else 0
