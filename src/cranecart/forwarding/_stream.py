"""Pass a stream on event by event; go on elsewhere when it stops."""

import attrs

from cranecart.exceptions import (
    TargetBrokenError,
)
from cranecart.forwarding._attempts import RoutedAttempts
from cranecart.forwarding._events import EventCutter
from cranecart.forwarding._sender import Patience, Sender, TargetAnswer
from cranecart.http import Responder, Response
from cranecart.logs import decision
from cranecart.routing import Target

# Gaps between events stay under 140 ms in 999 of 1,000 on a loaded engine
# (trial figures in docs/design/platform.md), so that this is worth a look.
_SUSPECT_SECONDS = 0.15
# Without anybody's finding a stream is moved after this silence.
_SILENT_SECONDS = 0.35
# A stream that must not run twice waits for its one run.
_FOREVER = Patience(_SUSPECT_SECONDS, float('inf'))
# The first event waits for the prompt and for others' prompts.
_FIRST_SUSPECT_PART = 0.8
_FIRST_MOST_PART = 2.5


@attrs.define
class StreamExchange:
    """One client's stream over all attempts at it."""

    _sender: Sender
    _attempts: RoutedAttempts
    _responder: Responder
    response: Response | None = attrs.field(default=None, init=False)
    cutter: EventCutter = attrs.field(factory=EventCutter, init=False)

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
                decision(
                    'stream_moved',
                    request=call.request_id,
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
        objective = self._attempts.call.route.objective_seconds
        if self._attempts.may_try_another():
            return Patience(
                objective * _FIRST_SUSPECT_PART,
                objective * _FIRST_MOST_PART,
            )
        return Patience(objective * _FIRST_SUSPECT_PART, float('inf'))
