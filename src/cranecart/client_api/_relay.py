"""Relay a stream; resume it at another replica where that is safe."""

from cranecart.client_api._attempts import within_deadline
from cranecart.client_api._errors import ErrorBody
from cranecart.client_api._sse import EventCounter, error_event
from cranecart.exceptions import (
    ConnectionBrokenError,
    RequestError,
    TargetFailedError,
)
from cranecart.http import Responder, Response
from cranecart.logs import log_decision
from cranecart.ports import Incarnation
from cranecart.quarantine import AttemptProgress, NamedRunner, RequestGuard
from cranecart.selection import Router
from cranecart.targets import (
    CompletionCall,
    EngineAnswer,
    EngineClient,
    ServingReplica,
)

_OK = 200
_EVENT_STREAM = 'text/event-stream'


def leader_runner(replica: ServingReplica) -> NamedRunner:
    """Return the runner for crash tracking: the leader of the replica.

    Each generation of a replica counts as an incarnation of its own.
    """
    incarnation = Incarnation(replica.members[0], replica.generation)
    return NamedRunner(replica.id, incarnation, replica.leader)


class StreamRelay:
    """One client's stream over all its attempts."""

    def __init__(
        self,
        call: CompletionCall,
        responder: Responder,
        router: Router,
        engines: EngineClient,
        guard: RequestGuard,
    ) -> None:
        """Prepare to relay from the first token."""
        self._event_counter = EventCounter()
        self._call = call
        self._responder = responder
        self._router = router
        self._engines = engines
        self._guard = guard
        self._tried: list[str] = []
        self._recorded_events: list[bytes] = []
        self._has_client_disconnected = False

    @property
    def is_finished(self) -> bool:
        """Return whether the complete stream was relayed."""
        return self._event_counter.is_finished

    async def attempt(self) -> None:
        """Relay from an untried replica; raise ``TargetError`` if it fails."""
        replica = self._router.choose_replica(self._call, self._tried)
        self._tried.append(replica.id)
        runner = leader_runner(replica)
        watching_context = self._guard.watch(
            lambda: self._call.identity, runner, self._call.segments
        )
        with self._router.track_in_flight(replica.id):
            async with watching_context as progress:
                await self._relay(replica, progress)

    async def finish_with_error(self, error: RequestError) -> None:
        """Send an error event and end the stream, which has started already."""
        body = ErrorBody.from_error(error, self._call.request_id)
        log_decision(
            'stream_cut_short',
            request=self._call.request_id,
            tokens=self._event_counter.tokens,
            why=str(error),
        )
        await self._responder.write(error_event(body))
        await self._responder.end()

    def recorded_response(self) -> Response:
        """Return the stream; its body is kept for non-repeatable calls only."""
        return Response(
            _OK,
            {'content-type': _EVENT_STREAM},
            b''.join(self._recorded_events),
        )

    async def _relay(
        self, replica: ServingReplica, progress: AttemptProgress
    ) -> None:
        self._event_counter.restart()
        progress.record_sent()
        answer = await self._engines.start_completion(
            replica,
            self._call,
            self._event_counter.tokens,
        )
        async with answer:
            progress.record_begun()
            await self._start_response()
            # One timer for the whole stream: a timer for each event costs too
            # much CPU time.
            await within_deadline(self._call, self._relay_all, answer, progress)
            if not self.is_finished:
                raise TargetFailedError(
                    f'{replica.id} ended its stream before the last event'
                )
        if not self._has_client_disconnected:
            await self._responder.end()

    async def _start_response(self) -> None:
        if self._responder.has_started:
            return
        await self._responder.start(
            _OK,
            {
                'content-type': _EVENT_STREAM,
                'cache-control': 'no-store',
                'x-request-id': self._call.request_id,
            },
        )

    async def _relay_all(
        self, answer: EngineAnswer, progress: AttemptProgress
    ) -> None:
        while chunk := await answer.read_chunk():
            progress.record_progress()
            complete = self._event_counter.feed(chunk)
            if not complete:
                continue
            if self._call.repeatable:
                await self._responder.write(complete)
            else:
                await self._relay_and_record(complete)

    async def _relay_and_record(self, complete: bytes) -> None:
        self._recorded_events.append(complete)
        if self._has_client_disconnected:
            return
        try:
            await self._responder.write(complete)
        except ConnectionBrokenError:
            # The call is not repeatable, so read on: a duplicate of it must
            # find the complete response.
            self._has_client_disconnected = True
