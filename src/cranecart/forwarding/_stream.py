"""Relay a stream event by event; resume it at another target if one fails."""

import attrs

from cranecart.clocks import since_boot
from cranecart.exceptions import (
    PeerBrokenError,
    TargetDisconnectedError,
    TargetFailedError,
)
from cranecart.forwarding._attempt import Attempt
from cranecart.forwarding._attempts import RoutedAttempts
from cranecart.forwarding._peer_requests import check_outcome
from cranecart.forwarding._sender import Sender, SilenceLimits, TargetAnswer
from cranecart.forwarding._sse import EventSplitter
from cranecart.http import Responder, Response, ResponseHead
from cranecart.peer_calls import (
    PeerAnswer,
    PeerCall,
    PeerClient,
    without_outcome,
)
from cranecart.routing import StreamActivity, StreamPace, Target

# Another target is tried after this silence if the replica was not found to
# have stopped earlier. With too few replicas live engines were silent
# for over 0.5 s, and moving away from them lost requests they would have served.
_REPLACE_SECONDS = 0.8
_FIRST_EVENT_REPLACE_SECONDS = 1.2
# Fraction of the objective after which a missing first event is reported. It
# takes longer than later ones, as the engine reads this prompt and others first.
_FIRST_EVENT_SUSPECT_FRACTION = 0.8
# A client that accepts nothing for this long leaves the target's stream unread.
# Targets cut off responses that were unread for some seconds; shorter pauses do
# not explain a broken connection.
_CLIENT_PAUSE_SECONDS = 1.0


@attrs.define
class StreamTiming:
    """When events were relayed, in seconds since the start."""

    _started_at: float = attrs.field(factory=since_boot, init=False)
    _previous_at: float | None = attrs.field(default=None, init=False)
    first_event_seconds: float = attrs.field(default=0, init=False)
    longest_gap_seconds: float = attrs.field(default=0, init=False)

    def record_event(self) -> float | None:
        """Record that one or more events were relayed just now.

        Return the seconds since the previous ones, or ``None`` for the first.
        """
        now = since_boot()
        previous_at = self._previous_at
        self._previous_at = now
        if previous_at is None:
            self.first_event_seconds = now - self._started_at
            return None
        gap = now - previous_at
        self.longest_gap_seconds = max(self.longest_gap_seconds, gap)
        return gap


@attrs.define
class _Relay:
    """What one attempt has received of a stream.

    It ``has_led`` once its events are passed on.
    """

    attempt: Attempt
    splitter: EventSplitter
    has_led: bool = attrs.field(default=False, init=False)
    resumed_after: str = attrs.field(
        default=attrs.Factory(
            lambda relay: relay.splitter.last_id, takes_self=True
        ),
        init=False,
    )


@attrs.define
class StreamingExchange:
    """One client's stream over all its attempts.

    ``response`` is set if a target failed before the stream started and its
    error response is to be sent instead.
    """

    _sender: Sender
    _attempts: RoutedAttempts
    _responder: Responder
    response: Response | None = attrs.field(default=None, init=False)
    splitter: EventSplitter = attrs.field(factory=EventSplitter, init=False)
    timing: StreamTiming = attrs.field(factory=StreamTiming, init=False)

    async def attempt(self, attempt: Attempt, target: Target) -> None:
        """Relay the stream of one target; raise ``TargetError`` if it fails."""
        call = self._attempts.call
        relay = self._start_relay(attempt)
        attempt_context = self._sender.start_attempt(
            call,
            target,
            self._first_event_limits(attempt),
            relay.splitter.last_id,
            on_send=attempt.progress.record_sent,
        )
        async with attempt_context as answer:
            relay.splitter.hold_in(answer.connection.held)
            attempt.progress.record_begun()
            if not answer.head.is_success:
                await self._handle_failure(attempt, target, answer)
                return
            await self._relay(relay, target, answer)
        await self._responder.end()

    async def attempt_through(
        self, attempt: Attempt, client: PeerClient, call: PeerCall
    ) -> None:
        """Relay the stream that a peer receives."""
        relay = self._start_relay(attempt)
        call.request.resume_after = relay.splitter.last_id
        async with client.start(call) as answer:
            relay.splitter.hold_in(answer.connection.held)
            check_outcome(client, call, answer.outcome)
            if answer.head.is_success:
                await self._relay_from_peer(relay, client, call, answer)
            else:
                # The peer has made the attempts that were left.
                body = await client.read(call, answer.connection.read_body)
                self._keep_failure(attempt, answer.head, body, call.peer.name)
                return
        await self._responder.end()

    def _start_relay(self, attempt: Attempt) -> _Relay:
        """Continue the stream so far; no other attempt may have added to it."""
        splitter = EventSplitter(
            self.splitter.last_id, self.splitter.event_count
        )
        splitter.restart()
        return _Relay(attempt, splitter)

    async def _lead(self, relay: _Relay, head: ResponseHead) -> None:
        """Let the attempt lead, and start the client's response."""
        has_led = relay.has_led
        await self._attempts.handover.lead(relay.attempt)
        relay.has_led = True
        self.splitter = relay.splitter
        if not has_led and relay.resumed_after:
            self._attempts.call.trace.add(
                'stream_moved',
                instance=relay.attempt.name,
                after=relay.resumed_after,
            )
        await self._start_response(head)

    async def _start_response(self, head: ResponseHead) -> None:
        if not self._responder.has_started:
            headers = self._sender.translator.response_headers(head)
            await self._responder.start(head.status, without_outcome(headers))

    async def _relay_from_peer(
        self,
        relay: _Relay,
        client: PeerClient,
        call: PeerCall,
        answer: PeerAnswer,
    ) -> None:
        if self._attempts.handover.is_leading(relay.attempt):
            await self._start_response(answer.head)
        while chunk := await client.read(call, answer.connection.read_chunk):
            complete = relay.splitter.feed(chunk)
            if complete:
                await self._lead(relay, answer.head)
                self._attempts.state.has_begun = True
                await self._write(relay.attempt, complete)
                self.timing.record_event()
        if not relay.splitter.is_between_events:
            raise PeerBrokenError(
                f'{call.peer.name} ended its stream within an event'
            )
        await self._lead(relay, answer.head)

    async def _relay(
        self, relay: _Relay, target: Target, answer: TargetAnswer
    ) -> None:
        if self._attempts.handover.is_leading(relay.attempt):
            await self._start_response(answer.head)
        incarnation = target.instance.incarnation
        router = self._sender.router
        call = self._attempts.call
        earlier_events = relay.splitter.event_count
        pace = router.paces.track_stream(
            incarnation,
            call.config.engine(call.service),
            call.facts.model,
            router.load,
        )
        with router.stalls.track_stream(incarnation) as activity:
            await self._relay_events(relay, target, answer, activity, pace)
        if not relay.splitter.is_between_events:
            raise TargetDisconnectedError(
                f'{target.instance.id} ended its stream within an event',
            )
        has_events = relay.splitter.event_count > earlier_events
        if not has_events and not answer.head.is_framed:
            # The end of its connection is all that a crashed target sends.
            raise TargetDisconnectedError(
                f'{target.instance.id} closed before the first event'
            )
        await self._lead(relay, answer.head)

    async def _relay_events(
        self,
        relay: _Relay,
        target: Target,
        answer: TargetAnswer,
        activity: StreamActivity,
        pace: StreamPace,
    ) -> None:
        limits = self._first_event_limits(relay.attempt)
        while chunk := await self._sender.read_with_limits(
            self._attempts.call,
            target,
            limits,
            answer.connection.read_chunk,
        ):
            activity.record_event()
            self._sender.router.ejection.record_event(
                target.instance.incarnation
            )
            complete = relay.splitter.feed(chunk)
            if complete:
                # Only whole events end other attempts: the rest may not follow.
                await self._lead(relay, answer.head)
            if self._attempts.handover.is_leading(relay.attempt):
                self._attempts.record_progress(relay.attempt)
            limits = self._silence_limits(relay.attempt)
            if complete:
                pace.record_event()
                with activity.exclude():
                    await self._write(relay.attempt, complete)
                pace.record_sent()
                self._record_gap(self.timing.record_event())

    async def _write(self, attempt: Attempt, events: bytes) -> None:
        started = since_boot()
        await self._responder.write(events, self._attempts.call.seconds_left)
        if since_boot() - started > _CLIENT_PAUSE_SECONDS:
            attempt.is_paused = True

    def _record_gap(self, gap: float | None) -> None:
        if gap is not None:
            model = self._attempts.call.facts.model
            self._sender.router.gaps.record(model, gap)

    async def _handle_failure(
        self,
        attempt: Attempt,
        target: Target,
        answer: TargetAnswer,
    ) -> None:
        body = await self._sender.read_with_limits(
            self._attempts.call,
            target,
            self._first_event_limits(attempt),
            answer.connection.read_body,
        )
        name = target.instance.id
        if self._attempts.may_drop_error(attempt):
            raise TargetFailedError(
                f'{name} failed with status {answer.head.status}'
            )
        self._keep_failure(attempt, answer.head, body, name)

    def _keep_failure(
        self, attempt: Attempt, head: ResponseHead, body: bytes, sender: str
    ) -> None:
        """Keep an error response for the client; raise if it is too late."""
        if (
            self._responder.has_started
            or not self._attempts.handover.is_leading(attempt)
        ):
            raise TargetFailedError(
                f'{sender} failed with status {head.status}'
            )
        self.response = Response(
            head.status,
            body=body,
            header_lines=without_outcome(
                self._sender.translator.response_headers(head)
            ),
        )

    def _silence_limits(self, attempt: Attempt) -> SilenceLimits:
        model = self._attempts.call.facts.model
        return SilenceLimits(
            self._sender.router.gaps.stall_seconds(model),
            _REPLACE_SECONDS,
            self._attempts.call.route.pause_seconds,
            self._attempts.replacement(self, attempt),
        )

    def _first_event_limits(self, attempt: Attempt) -> SilenceLimits:
        if self.splitter.last_id:
            return self._silence_limits(attempt)
        suspect_after = (
            self._attempts.call.route.objective_seconds
            * _FIRST_EVENT_SUSPECT_FRACTION
        )
        # A replica whose other streams stall will not start this one, and
        # trying another at once may still meet the objective.
        return SilenceLimits(
            suspect_after,
            max(suspect_after, _FIRST_EVENT_REPLACE_SECONDS),
            stalled_after=0,
            replacement=self._attempts.replacement(self, attempt),
            ends_if_stopped=(
                self._attempts.call.may_repeat
                and not self._attempts.state.has_begun
            ),
        )
