"""Split a stream into server-sent events and count its tokens.

Only complete events are relayed, so that a stream that is resumed at another
replica can continue at the right token. Nothing else in them is parsed.
"""

import attrs
import msgspec

from cranecart.exceptions import MessageTooLargeError, TargetOversizedError
from cranecart.http import EVENT_END, EventBuffer

_LAST_EVENT = b'data: [DONE]\n\n'


@attrs.define
class EventCounter:
    """Buffers incomplete events and counts the complete ones.

    Each event but the last one carries one token.
    """

    tokens: int = 0
    is_finished: bool = False
    _events: EventBuffer = attrs.field(factory=EventBuffer, init=False)

    def feed(self, chunk: bytes) -> bytes:
        """Add received bytes; return the events that are complete by now.

        Raise ``TargetOversizedError`` at an event that is too large.
        """
        try:
            complete = self._events.feed(chunk)
        except MessageTooLargeError as error:
            raise TargetOversizedError(str(error)) from error
        self.tokens += complete.count(EVENT_END)
        if complete.endswith(_LAST_EVENT):
            self.is_finished = True
            self.tokens -= 1
        return complete

    def restart(self) -> None:
        """Discard an incomplete event before the stream is resumed."""
        self._events.clear()


def error_event(error: object) -> bytes:
    """Encode the event that ends an aborted stream."""
    encoded = msgspec.json.encode({'error': error})
    return b'event: error\ndata: %b\n\n' % encoded
