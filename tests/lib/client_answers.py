"""What clients read, also if it breaks off or they leave."""

import contextlib
import re
import time

import attrs

from cranecart.exceptions import HttpError
from cranecart.http import Headers, HttpConnection, Request

_EVENT_ID = re.compile(rb'^id: (\d+)$', re.MULTILINE)


@attrs.frozen
class Answer:
    """What one client got.

    Status 0 means that the connection broke before an answer. ``left_at`` is
    when the client closed its connection, if it left.
    """

    request_id: str
    status: int
    body: bytes
    is_complete: bool
    longest_pause: float
    left_at: float | None = None

    @property
    def event_ids(self) -> list[int]:
        """Return the ids of the events received."""
        return [int(number) for number in _EVENT_ID.findall(self.body)]

    @property
    def is_mixed(self) -> bool:
        """Return whether an event is missing or stands twice."""
        return self.event_ids != list(range(1, len(self.event_ids) + 1))


class AnswerReader:
    """Reads one answer and keeps what has arrived if it is interrupted.

    ``sent_at`` is when the request was sent, by the monotonic clock.
    """

    def __init__(self, connection: HttpConnection, headers: Headers) -> None:
        """Prepare for a request with these headers on a new connection."""
        self._connection = connection
        self._headers = headers
        self._request_id = headers['request-id']
        self._status = 0
        self._body = bytearray()
        self._is_complete = False
        self._longest_pause = float(0)
        self.sent_at = float('inf')

    async def read(self, path: str) -> None:
        """Send the request and read until the answer ends or breaks off."""
        self.sent_at = time.monotonic()
        with contextlib.suppress(HttpError):
            head = await self._connection.send_and_read_head(
                Request('POST', path, self._headers, self._request_id.encode())
            )
            self._status = head.status
            read_at = time.monotonic()
            while chunk := await self._connection.read_chunk():
                now = time.monotonic()
                self._longest_pause = max(self._longest_pause, now - read_at)
                read_at = now
                self._body += chunk
            self._is_complete = True

    def answer(self, left_at: float | None) -> Answer:
        """Return what was read; ``left_at`` is when the client left."""
        has_left = left_at is not None and not self._is_complete
        return Answer(
            self._request_id,
            self._status,
            bytes(self._body),
            self._is_complete,
            self._longest_pause,
            left_at if has_left else None,
        )
