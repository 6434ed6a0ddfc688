"""Split a stream into server-sent events and count its tokens.

Only complete events are relayed, so that a stream that is resumed at another
replica can continue at the right token. Nothing else in them is parsed.
"""

import attrs
import msgspec

_EVENT_END = b'\n\n'
_LAST_EVENT = b'data: [DONE]\n\n'


@attrs.define
class EventCounter:
    """Buffers incomplete events and counts the complete ones.

    Each event but the last one carries one token.
    """

    tokens: int = 0
    is_finished: bool = False
    _partial: bytes = b''

    def feed(self, chunk: bytes) -> bytes:
        """Add received bytes; return the events that are complete by now."""
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
        """Discard an incomplete event before the stream is resumed."""
        self._partial = b''


def error_event(error: object) -> bytes:
    """Encode the event that ends an aborted stream."""
    encoded = msgspec.json.encode({'error': error})
    return b'event: error\ndata: %b\n\n' % encoded
