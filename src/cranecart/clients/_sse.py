"""Look into a stream only as far as the promises need.

An answer is passed on in whole server-sent events, so that a stream that goes
on at another replica can start at the right token.
"""

import attrs
import msgspec

_EVENT_END = b'\n\n'
_LAST_EVENT = b'data: [DONE]\n\n'


@attrs.define
class EventCounter:
    """Cuts a stream at the ends of events and counts its tokens."""

    tokens: int = 0
    is_finished: bool = False
    _partial: bytes = b''

    def feed(self, chunk: bytes) -> bytes:
        """Take what one read brought; return the whole events in it."""
        if self._partial:
            chunk = self._partial + chunk
            self._partial = b''
        if not chunk.endswith(_EVENT_END):
            complete_end = chunk.rfind(_EVENT_END) + len(_EVENT_END)
            if complete_end < len(_EVENT_END):
                self._partial = chunk
                return b''
            self._partial = chunk[complete_end:]
            chunk = chunk[:complete_end]
        self.tokens += chunk.count(_EVENT_END)
        if chunk.endswith(_LAST_EVENT):
            self.is_finished = True
            self.tokens -= 1
        return chunk

    def restart(self) -> None:
        """Drop half an event of a stream that broke off."""
        self._partial = b''


def error_event(error: object) -> bytes:
    """Write the event that ends a stream which could not be finished."""
    encoded = msgspec.json.encode({'error': error})
    return b'event: error\ndata: %b\n\n' % encoded
