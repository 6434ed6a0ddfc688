"""Run the attempts at an admitted request and answer the client."""

import contextlib
import functools
import logging
from collections.abc import AsyncGenerator, Mapping

import attrs
import curio

from cranecart.exceptions import (
    ConnectionBrokenError,
    OutcomeUnknownError,
    RequestError,
)
from cranecart.forwarding._attempts import RoutedAttempts
from cranecart.forwarding._buffered import BufferedExchange
from cranecart.forwarding._call import RoutedCall
from cranecart.forwarding._sender import Sender
from cranecart.forwarding._stream import StreamingExchange
from cranecart.http import Responder

_LOG = logging.getLogger(__name__)
_MILLISECONDS = 1000


@contextlib.asynccontextmanager
async def cancel_on_disconnect(
    responder: Responder,
) -> AsyncGenerator[None, None]:
    """Cancel the current task if the client disconnects meanwhile."""
    current = await curio.current_task()
    watcher = await curio.spawn(_watch, responder, current, daemon=True)
    try:
        yield
    finally:
        await watcher.cancel()


async def check_client() -> None:
    """Raise ``CancelledError`` if the client is known to have disconnected.

    Called within ``cancel_on_disconnect`` before anything is sent: the request
    may have been read long after its client left.
    """
    # Lets the watching task read what has arrived.
    await curio.sleep(0)
    await curio.check_cancellation()


async def _watch(responder: Responder, task: curio.Task) -> None:
    await responder.wait_for_disconnect()
    await task.cancel(blocking=False)


@attrs.frozen
class CallForwarder:
    """Forwards requests to targets, or through other nodes."""

    sender: Sender

    async def forward(
        self,
        attempts: RoutedAttempts,
        responder: Responder,
        resume_after: str = '',
    ) -> int | None:
        """Answer a request; return the number of events of a whole stream.

        A stream continues after the event ``resume_after``. Raise
        ``RequestError`` if nothing was answered, or ``ConnectionBrokenError``
        if the client has disconnected.
        """
        try:
            return await self._attempt(attempts, responder, resume_after)
        except (RequestError, ConnectionBrokenError):
            raise
        except Exception as error:
            if not attempts.has_started:
                raise
            # A target may have run the request, so it must not be reported as
            # not run.
            _LOG.exception('unexpected error while forwarding a request')
            raise OutcomeUnknownError(repr(error)) from error

    async def _attempt(
        self,
        attempts: RoutedAttempts,
        responder: Responder,
        resume_after: str,
    ) -> int | None:
        call = attempts.call
        events = None
        if call.route.streaming:
            stream = StreamingExchange(self.sender, attempts, responder)
            stream.splitter.last_id = resume_after
            call.trace.describe_progress = functools.partial(
                _describe_progress, attempts, stream
            )
            await attempts.run(stream)
            response = stream.response
            if response is None:
                events = stream.splitter.event_count
                _log_stream(call, attempts, stream)
        else:
            buffered = BufferedExchange(self.sender, attempts)
            call.trace.describe_progress = functools.partial(
                _describe_progress, attempts
            )
            await _run_buffered(attempts, buffered)
            response = buffered.response
        if response is not None:
            memory = self.sender.connections.memory
            with memory.sending(len(response.body)):
                await responder.send(response)
            call.trace.add(
                'answered',
                status=response.status,
                after=round(call.elapsed_seconds, 3),
                tried=attempts.choice.tried,
            )
        return events


async def _run_buffered(
    attempts: RoutedAttempts,
    buffered: BufferedExchange,
) -> None:
    """Run the attempts; a target's error response is kept if all fail."""
    try:
        await attempts.run(buffered)
    except RequestError:
        if buffered.response is None:
            raise


def _describe_progress(
    attempts: RoutedAttempts, stream: StreamingExchange | None = None
) -> Mapping[str, object]:
    events = 0 if stream is None else stream.splitter.event_count
    return {
        'tried': attempts.choice.tried,
        'events': events,
        'left': round(attempts.call.seconds_left, 3),
    }


def _log_stream(
    call: RoutedCall,
    attempts: RoutedAttempts,
    stream: StreamingExchange,
) -> None:
    timing = stream.timing
    call.trace.add(
        'streamed',
        model=call.facts.model,
        prompt=call.facts.prompt_tokens,
        events=stream.splitter.event_count,
        first_ms=round(timing.first_event_seconds * _MILLISECONDS),
        gap_ms=round(timing.longest_gap_seconds * _MILLISECONDS),
        tried=attempts.choice.tried,
    )
