"""A store behind a link that carries a stated number of bytes a second."""

import attrs
import curio

from cranecart.exceptions import ConnectionBrokenError
from cranecart.http import Request, Responder, Response
from tests.platform._standin import StandinStore

# Small, so that the answers to concurrent calls share the link.
_PART_BYTES = 4096


class _Answer:
    """Takes the answer of the stand-in instead of its client."""

    def __init__(self) -> None:
        """Start without an answer."""
        self.response = Response(500)

    async def send(self, response: Response) -> None:
        """Keep the answer."""
        self.response = response


@attrs.define
class SlowLinkStore(StandinStore):
    """A store whose answers arrive steadily, all over the same link.

    After ``silent_after_bytes`` of an answer nothing more of it arrives.
    """

    bytes_per_second: float = float('inf')
    silent_after_bytes: int | None = None
    sent_bytes: int = attrs.field(default=0, init=False)
    _link: curio.Lock = attrs.field(factory=curio.Lock, init=False)

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one call at the rate of the link."""
        answer = _Answer()
        await super().handle(request, answer)  # type: ignore[arg-type]
        response = answer.response
        headers = {
            **response.headers,
            'content-length': str(len(response.body)),
        }
        await responder.start(response.status, headers)
        try:
            await self._write(response.body, responder)
        except ConnectionBrokenError:
            # The client does not wait for the rest.
            return
        await responder.end()

    async def _write(self, body: bytes, responder: Responder) -> None:
        for start in range(0, len(body), _PART_BYTES):
            part = body[start : start + _PART_BYTES]
            if self._is_silent_at(start):
                await curio.sleep(60)
            async with self._link:
                await curio.sleep(len(part) / self.bytes_per_second)
            await responder.write(part)
            self.sent_bytes += len(part)

    def _is_silent_at(self, sent: int) -> bool:
        limit = self.silent_after_bytes
        return limit is not None and sent >= limit
