"""Pass a stream on event by event; go on elsewhere when it stops."""

import time

import attrs

from cranecart.exceptions import (
    TargetBrokenError,
)
from cranecart.forwarding._attempts import RoutedAttempts
from cranecart.forwarding._events import EventCutter
from cranecart.forwarding._sender import Patience, Sender, TargetAnswer
from cranecart.http import Responder, Response
from cranecart.routing import Target

# Gaps between events stay under 0.14 s in 999 of 1,000 while an engine has
# room (trials on the users' bench), so that this is worth a look.
_SUSPECT_SECONDS = 0.15
# Without its placer's finding a stream is moved after this silence only: in
# plays with too few replicas, live engines were silent for over half a
# second, and moving away from them lost requests that had been served.
_SILENT_SECONDS = 0.8
_FIRST_SILENT_SECONDS = 1.2
# A stream that must not run twice waits for its one run.
_FOREVER = Patience(_SUSPECT_SECONDS, float('inf'))
# The first event waits for the prompt and for others' prompts.
_FIRST_SUSPECT_PART = 0.8


@attrs.define
class StreamTiming:
    """When events were passed on, in seconds from the start."""

    _started_at: float = attrs.field(factory=time.monotonic, init=False)
    _last_at: float | None = attrs.field(default=None, init=False)
    first: float = attrs.field(default=0, init=False)
    longest_gap: float = attrs.field(default=0, init=False)

    def note_event(self) -> None:
        """Take over that an event, or some at once, was passed on now."""
        now = time.monotonic()
        if self._last_at is None:
            self.first = now - self._started_at
        else:
            self.longest_gap = max(self.longest_gap, now - self._last_at)
        self._last_at = now


@attrs.define
class StreamExchange:
    """One client's stream over all attempts at it."""

    _sender: Sender
    _attempts: RoutedAttempts
    _responder: Responder
    response: Response | None = attrs.field(default=None, init=False)
    cutter: EventCutter = attrs.field(factory=EventCutter, init=False)
    timing: StreamTiming = attrs.field(factory=StreamTiming, init=False)

    async def attempt(self, target: Target) -> None:
        """Relay from one target; raise ``TargetError`` where it stops."""
        call = self._attempts.call
        self.cutter.restart()
        answering = self._sender.answer(
            call,
            target,
            self._first_patience(),
            self.cutter.last_id,
        )
        async with answering as answer:
            if not answer.head.is_success:
                await self._take_failure(target, answer)
                return
            if self.cutter.last_id:
                call.trace.add(
                    'stream_moved',
                    instance=target.instance.id,
                    after=self.cutter.last_id,
                )
            await self._pass_on(target, answer)
        await self._responder.end()

    async def _pass_on(self, target: Target, answer: TargetAnswer) -> None:
        if not self._responder.has_started:
            await self._responder.start(
                answer.head.status,
                self._sender.form.answer_lines(answer.head),
            )
        patience = self._first_patience()
        while piece := await self._sender.wait(
            self._attempts.call,
            target,
            patience,
            answer.connection.read_piece,
        ):
            patience = self._patience()
            whole = self.cutter.feed(piece)
            if whole:
                await self._responder.write(whole)
                self.timing.note_event()
        if not self.cutter.is_between_events:
            raise TargetBrokenError(f'{target.instance.id} cut an event off')

    async def _take_failure(
        self,
        target: Target,
        answer: TargetAnswer,
    ) -> None:
        body = await self._sender.wait(
            self._attempts.call,
            target,
            _FOREVER,
            answer.connection.read_body,
        )
        failure = f'{target.instance.id} failed with {answer.head.status}'
        if self._responder.has_started or self._attempts.may_try_another():
            raise TargetBrokenError(failure)
        self.response = Response(
            answer.head.status,
            body=body,
            lines=self._sender.form.answer_lines(answer.head),
        )

    def _patience(self) -> Patience:
        if self._attempts.may_try_another():
            return Patience(_SUSPECT_SECONDS, _SILENT_SECONDS)
        return _FOREVER

    def _first_patience(self) -> Patience:
        if self.cutter.last_id:
            return self._patience()
        suspect = (
            self._attempts.call.route.objective_seconds * _FIRST_SUSPECT_PART
        )
        if self._attempts.may_try_another():
            return Patience(suspect, max(suspect, _FIRST_SILENT_SECONDS))
        return Patience(suspect, float('inf'))
