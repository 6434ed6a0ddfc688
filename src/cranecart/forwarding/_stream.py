"""Pass a stream on event by event; go on elsewhere when it stops."""

import attrs

from cranecart.clocks import since_boot
from cranecart.exceptions import TargetBrokenError, TargetDisconnectedError
from cranecart.forwarding._attempts import RoutedAttempts
from cranecart.forwarding._events import EventCutter
from cranecart.forwarding._sender import Patience, Sender, TargetAnswer
from cranecart.http import Responder, Response
from cranecart.routing import StreamActivity, Target

# Without its placer's finding a stream is moved after this silence only: in
# plays with too few replicas, live engines were silent for over half a
# second, and moving away from them lost requests that had been served.
_SILENT_SECONDS = 0.8
_FIRST_SILENT_SECONDS = 1.2
# The first event waits for the prompt and for others' prompts.
_FIRST_SUSPECT_PART = 0.8


@attrs.define
class StreamTiming:
    """When events were passed on, in seconds from the start."""

    _started_at: float = attrs.field(factory=since_boot, init=False)
    _last_at: float | None = attrs.field(default=None, init=False)
    first: float = attrs.field(default=0, init=False)
    longest_gap: float = attrs.field(default=0, init=False)

    def note_event(self) -> float | None:
        """Take over that an event, or some at once, was passed on now.

        Return the seconds since the one before, if there was one.
        """
        now = since_boot()
        earlier = self._last_at
        self._last_at = now
        if earlier is None:
            self.first = now - self._started_at
            return None
        gap = now - earlier
        self.longest_gap = max(self.longest_gap, gap)
        return gap


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
            self._attempts.answering()
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
        incarnation = target.instance.incarnation
        with self._sender.router.stalls.track_stream(incarnation) as pulse:
            await self._pass_events(target, answer, pulse)
        if not self.cutter.is_between_events:
            raise TargetDisconnectedError(
                f'{target.instance.id} cut an event off',
            )

    async def _pass_events(
        self,
        target: Target,
        answer: TargetAnswer,
        pulse: StreamActivity,
    ) -> None:
        patience = self._first_patience()
        while piece := await self._sender.wait(
            self._attempts.call,
            target,
            patience,
            answer.connection.read_chunk,
        ):
            self._attempts.begun(target)
            patience = self._patience()
            pulse.record_event()
            whole = self.cutter.feed(piece)
            if whole:
                await self._responder.write(whole)
                self._note_gap(self.timing.note_event())

    def _note_gap(self, gap: float | None) -> None:
        if gap is not None:
            model = self._attempts.call.facts.model
            self._sender.router.gaps.record(model, gap)

    async def _take_failure(
        self,
        target: Target,
        answer: TargetAnswer,
    ) -> None:
        body = await self._sender.wait(
            self._attempts.call,
            target,
            Patience(float('inf'), float('inf')),
            answer.connection.read_body,
        )
        failure = f'{target.instance.id} failed with {answer.head.status}'
        if self._responder.has_started or self._attempts.may_try_another():
            raise TargetBrokenError(failure)
        self.response = Response(
            answer.head.status,
            body=body,
            header_lines=self._sender.form.answer_lines(answer.head),
        )

    def _patience(self) -> Patience:
        model = self._attempts.call.facts.model
        suspect = self._sender.router.gaps.stall_seconds(model)
        if self._attempts.may_try_another():
            pause = self._attempts.call.route.pause_seconds
            return Patience(suspect, _SILENT_SECONDS, pause)
        # What must not run again waits for the run it has: a replica that
        # stands still breaks it off itself within seconds.
        return Patience(suspect, float('inf'), is_last=True)

    def _first_patience(self) -> Patience:
        if self.cutter.last_id:
            return self._patience()
        suspect = (
            self._attempts.call.route.objective_seconds * _FIRST_SUSPECT_PART
        )
        if self._attempts.may_try_another():
            # A replica that gives its other streams nothing will not begin
            # this one: leaving it at once may still meet the objective.
            most = max(suspect, _FIRST_SILENT_SECONDS)
            return Patience(suspect, most, still=0)
        return Patience(suspect, float('inf'))
