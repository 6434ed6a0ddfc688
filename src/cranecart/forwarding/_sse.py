"""Split a stream of server-sent events and track the last event id."""

import itertools
import re
from collections.abc import Sequence

import attrs

from cranecart.exceptions import HttpError, TargetFailedError
from cranecart.forwarding._response_errors import error_of_response
from cranecart.http import EVENT_END, EventBuffer, HeldResponse

_ID_FIELD = re.compile(rb'^id: ?(.*)$', re.MULTILINE)


@attrs.define
class EventSplitter:
    """Buffers incomplete events, so that only complete ones are forwarded."""

    last_id: str = ''
    event_count: int = 0
    _events: EventBuffer = attrs.field(factory=EventBuffer, init=False)
    # Set from the first attempt on: ids must ascend over all attempts at a
    # stream, whichever targets they come from.
    _requires_ascending_ids: bool = False

    @property
    def is_between_events(self) -> bool:
        """Return whether no incomplete event is buffered."""
        return not self._events.size

    def hold_in(self, held: HeldResponse) -> None:
        """Count and bound what is kept from now on with a response."""
        self._events.held = held

    def feed(self, chunk: bytes) -> bytes:
        """Add received bytes; return the events that are complete by now.

        Raise ``TargetFailedError`` if event ids do not ascend, as in a resumed
        stream that starts over: the client would get events twice. Raise
        ``TargetOversizedError`` at an event that is too large, and
        ``ResponseCutError`` if there is no room for an incomplete one.
        """
        try:
            complete = self._events.feed(chunk)
        except HttpError as error:
            raise error_of_response(error) from error
        self.event_count += complete.count(EVENT_END)
        ids = _ID_FIELD.findall(complete)
        if ids:
            self._check_ids_ascend(ids)
            self.last_id = ids[-1].decode('latin-1').strip()
        return complete

    def restart(self) -> None:
        """Discard an incomplete event before the next attempt starts."""
        self._events = EventBuffer()
        self._requires_ascending_ids = True

    def _check_ids_ascend(self, ids: Sequence[bytes]) -> None:
        if not self._requires_ascending_ids:
            return
        ids_so_far = [
            self.last_id,
            *(event_id.decode('latin-1').strip() for event_id in ids),
        ]
        numbers = [int(text) for text in ids_so_far if text.isdecimal()]
        if any(
            later <= earlier for earlier, later in itertools.pairwise(numbers)
        ):
            raise TargetFailedError(
                f'event ids do not ascend after {self.last_id}: {numbers}',
            )
