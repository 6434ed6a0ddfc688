"""Wait for answers for as long as they make progress."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import attrs
import curio
from curio.errors import TaskTimeout

from cranecart.clocks import since_boot
from cranecart.exceptions import PeerTimeoutError
from cranecart.http._client import HttpConnection
from cranecart.http._messages import Address, Request, Response

Result = TypeVar('Result')

# How long a part of an answer may take.
_PROGRESS_SECONDS = 1.5
# A slower answer counts as a stalled one: its node would be better served by
# another connection or by other nodes.
_MIN_PART_BYTES = 16384
# An answer that takes longer is older than what other nodes know by then.
_MAX_ANSWER_SECONDS = 10.0


@attrs.define
class AnswerReader:
    """Sends a request and reads its answer part by part.

    A limit on the whole exchange would discard a large answer that is arriving
    over a slow link, and request it again from its first byte.
    """

    _connection: HttpConnection
    _body: bytearray = attrs.field(factory=bytearray, init=False)

    async def exchange(
        self,
        request: Request,
        head_seconds: float,
        on_head: Callable[[], object] = bool,
    ) -> Response:
        """Return the answer, whose head arrives within ``head_seconds``.

        ``on_head`` is called once the answer has begun to arrive. Raise
        ``TaskTimeout`` if the answer makes no progress, or ``HttpError``, also
        if there is no room for it.
        """
        try:
            return await self._exchange(request, head_seconds, on_head)
        finally:
            # An error may refer to this reader for a while.
            self._body.clear()

    async def _exchange(
        self,
        request: Request,
        head_seconds: float,
        on_head: Callable[[], object],
    ) -> Response:
        connection = self._connection
        await self._in_time(head_seconds, connection.start_sending, request)
        head = await self._in_time(head_seconds, connection.read_head)
        on_head()
        started = since_boot()
        is_complete = False
        while not is_complete:
            if since_boot() - started > _MAX_ANSWER_SECONDS:
                raise TaskTimeout('the answer took too long')
            is_complete = await self._in_time(
                _PROGRESS_SECONDS, self._read_part
            )
        return Response(head.status, head.headers, bytes(self._body))

    async def _read_part(self) -> bool:
        """Read some more of the body; return whether it is complete.

        What was read is kept if this is interrupted.
        """
        target_size = len(self._body) + _MIN_PART_BYTES
        while len(self._body) < target_size:
            chunk = await self._connection.read_chunk()
            if not chunk:
                return True
            self._body += chunk
            self._connection.held.keep_body(len(self._body))
        return False

    async def _in_time(
        self,
        seconds: float,
        step: Callable[..., Awaitable[Result]],
        *arguments: object,
    ) -> Result:
        try:
            return await curio.timeout_after(seconds, step, *arguments)
        except TaskTimeout:
            if self._connection.has_no_pending_input():
                raise
        # It has arrived while this process did not run.
        return await curio.timeout_after(seconds, step, *arguments)


async def exchange_in_progress(
    address: Address, request: Request, head_seconds: float
) -> Response:
    """Send one request on a new connection and return the answer.

    Its head arrives within ``head_seconds``, and the rest may take longer while
    it makes progress. Raise ``HttpError`` if it does not.
    """
    connection = await HttpConnection.open(address, head_seconds)
    try:
        return await AnswerReader(connection).exchange(request, head_seconds)
    except TaskTimeout as error:
        raise PeerTimeoutError(
            f'{address} did not finish its answer: {error!r}'
        ) from error
    finally:
        await connection.close()
