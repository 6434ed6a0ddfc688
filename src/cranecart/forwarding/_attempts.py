"""Retry a request at other targets where the route and budget allow it."""

import functools
from typing import Protocol, Self

import attrs
import curio

from cranecart.clocks import since_boot
from cranecart.exceptions import (
    AllTargetsRefusedError,
    NoReplicaError,
    OverloadedError,
    PeerAnsweredError,
    QuarantinedRequestError,
    RequestError,
    TargetDisconnectedError,
    TargetError,
    TargetsOutOfReachError,
)
from cranecart.forwarding._attempt import Attempt
from cranecart.forwarding._attempt_log import trace_disconnect, trace_failure
from cranecart.forwarding._backoff import Backoff
from cranecart.forwarding._call import RoutedCall
from cranecart.forwarding._failure_reports import report_failure
from cranecart.forwarding._failures import AttemptFailures
from cranecart.forwarding._handover import Handover
from cranecart.forwarding._peer_requests import PeersOfCall
from cranecart.forwarding._replacement import Replacement
from cranecart.forwarding._target_choice import TargetChoice
from cranecart.peer_calls import Peer, PeerCall, PeerClient, PeerRequest
from cranecart.quarantine import RequestGuard
from cranecart.retries import RequestRetries, SharedRetryBudget
from cranecart.routing import Target, TargetRouter

_NO_TARGET_ERRORS = (
    QuarantinedRequestError,
    NoReplicaError,
    TargetsOutOfReachError,
    AllTargetsRefusedError,
    OverloadedError,
)


class Exchange(Protocol):
    """How a response is passed on to the client; errors are ``TargetError``."""

    async def attempt(self, attempt: Attempt, target: Target) -> None:
        """Try to have the request answered by a target."""

    async def attempt_through(
        self, attempt: Attempt, client: PeerClient, call: PeerCall
    ) -> None:
        """Try to have it answered through a peer.

        Raise ``PeerAnsweredError`` if the peer has given the request up.
        """


@attrs.define
class RoutedAttempts:
    """The attempts at one request, each at another target.

    ``has_begun`` is whether any of them has sent an event of a stream,
    ``has_started`` whether any attempt was made. ``handover`` decides which of
    them is passed on, ``choice`` where they go. ``_peers`` are the nodes that the
    request may be passed on to, none if it comes from one.
    """

    call: RoutedCall
    _router: TargetRouter
    _budget: SharedRetryBudget
    _guard: RequestGuard
    _peers: PeersOfCall | None = None
    has_begun: bool = attrs.field(default=False, init=False)
    failures: AttemptFailures = attrs.field(factory=AttemptFailures, init=False)
    has_started: bool = attrs.field(default=False, init=False)
    handover: Handover = attrs.field(
        default=attrs.Factory(
            lambda attempts: Handover(attempts.call.trace), takes_self=True
        ),
        init=False,
    )
    choice: TargetChoice = attrs.field(
        default=attrs.Factory(
            lambda attempts: TargetChoice(
                attempts.call,
                attempts._router,
                attempts._guard,
                attempts._peers,
                attempts.failures,
            ),
            takes_self=True,
        ),
        init=False,
    )
    _retries: RequestRetries = attrs.field(
        default=attrs.Factory(
            lambda attempts: RequestRetries(
                attempts._budget, attempts.call.service
            ),
            takes_self=True,
        ),
        init=False,
    )
    _backoff: Backoff = attrs.field(factory=Backoff, init=False)

    @classmethod
    def of_peer(
        cls,
        call: RoutedCall,
        message: PeerRequest,
        router: TargetRouter,
        budget: SharedRetryBudget,
        guard: RequestGuard,
    ) -> Self:
        """Return the attempts that follow those of a peer."""
        attempts = cls(call, router, budget, guard)
        for instance_id in message.tried:
            attempts.choice.exclude(instance_id)
        attempts.has_begun = message.has_begun
        attempts.failures.sent_count = max(
            0, call.route.attempts - message.attempts_left
        )
        return attempts

    async def run(self, exchange: Exchange) -> None:
        """Repeat until an attempt succeeds.

        Raise the ``RequestError`` that the client gets if none does.
        """
        try:
            succeeded = await self._attempt(exchange)
            while not succeeded:
                succeeded = await self._continue(exchange)
        finally:
            await self.handover.close()

    def may_try_another(self) -> bool:
        """Return whether another target or peer may be tried as well.

        Attempts that run are not in ``sent_count`` until they have ended.
        """
        used = self.failures.sent_count + self.handover.running_count
        if not self.call.may_repeat or used >= self.call.route.attempts:
            return False
        return self.choice.is_any_left()

    def may_fail(self, attempt: Attempt) -> bool:
        """Return whether an error response need not be passed on."""
        return (
            not self.handover.is_leading(attempt)
            or self.handover.running_count > 1
            or self.may_try_another()
        )

    def replacement(self, exchange: Exchange, attempt: Attempt) -> Replacement:
        """Return what takes over from an attempt whose target is silent."""
        return Replacement(
            self.handover,
            attempt,
            functools.partial(self._try_beside, exchange),
        )

    def record_progress(self, attempt: Attempt) -> None:
        """Record that an event arrived from the target that leads."""
        attempt.progress.record_progress()
        choice = attempt.choice
        if isinstance(choice, Target) and not self.has_begun:
            self._router.record_first_event(choice, self.call.facts.model)
        self.has_begun = True

    async def _attempt(
        self, exchange: Exchange, *, is_charged: bool = False
    ) -> bool:
        """Make the next attempt; return whether it succeeded."""
        await self._guard.wait_until_settled(
            self.call.identify,
            lambda: self.call.seconds_left,
            self.call.facts.shared_segments,
        )
        try:
            choice = self.choice.choose(has_begun=self.has_begun)
        except _NO_TARGET_ERRORS as error:
            if not self._may_wait(error):
                raise self._final_error(error) from error
            if is_charged:
                self._retries.restore()
            await self._wait(str(error))
            return False
        attempt = Attempt(choice, is_charged)
        self.handover.begin(attempt)
        return await self._succeeds(exchange, attempt)

    async def _continue(self, exchange: Exchange) -> bool:
        """Go on after an attempt has failed; return whether one succeeded."""
        successor = self.handover.successor()
        if successor is not None:
            return await successor.result()
        # Only retries after a request was sent are charged to the budget:
        # attempts that reached no target put no load on any.
        is_charged = self.failures.any_sent
        if self._may_retry():
            if not is_charged or self._retries.take():
                return await self._attempt(exchange, is_charged=is_charged)
            self.call.trace.add('retry_refused', service=self.call.service)
        if not self._may_wait():
            raise self._final_error()
        await self._wait('no retry is allowed')
        return False

    async def _try_beside(self, exchange: Exchange, reason: str) -> None:
        """Start another attempt beside those that run, if one is allowed.

        What runs may still succeed, while the next target may refuse and there
        may be no retry left for it.
        """
        now = since_boot()
        if not self._backoff.is_due(now) or not self._may_try_beside():
            return
        self._backoff.postpone(now)
        try:
            choice = self.choice.choose(has_begun=self.has_begun)
        except _NO_TARGET_ERRORS:
            return
        self._retries.take()
        self.call.trace.is_notable = True
        self.call.trace.add('attempt_added', why=reason)
        attempt = Attempt(choice, is_charged=True)
        task = await curio.spawn(
            self._run_beside, exchange, attempt, daemon=True
        )
        self.handover.add(attempt, task)

    def _may_try_beside(self) -> bool:
        if self.call.seconds_left <= 0 or not self.may_try_another():
            return False
        seconds = self._guard.isolated_sends.seconds_to_wait(
            self.call.identify, segments=self.call.facts.shared_segments
        )
        return seconds <= 0 and self._retries.secure()

    async def _run_beside(self, exchange: Exchange, attempt: Attempt) -> bool:
        try:
            return await self._succeeds(exchange, attempt)
        except RequestError as error:
            if self.handover.is_leading(attempt):
                raise
            trace_failure(self.call, attempt.name, error)
            return False

    async def _succeeds(self, exchange: Exchange, attempt: Attempt) -> bool:
        self.has_started = True
        match attempt.choice:
            case Peer() as peer:
                return await self._succeeds_through(exchange, attempt, peer)
            case Target() as target:
                return await self._succeeds_at(exchange, attempt, target)

    async def _succeeds_through(
        self, exchange: Exchange, attempt: Attempt, peer: Peer
    ) -> bool:
        others = self.handover.running_count - 1
        client, call = self.choice.call_through(
            peer,
            self.call.route.attempts - self.failures.sent_count - others,
            self.replacement(exchange, attempt).check,
            has_begun=self.has_begun,
        )
        try:
            async with self.handover.running(attempt):
                await exchange.attempt_through(attempt, client, call)
        except TargetError as error:
            self._record(attempt, error)
            return False
        except PeerAnsweredError as error:
            if not self.failures.may_have_run:
                raise
            raise self._final_error() from error
        return True

    async def _succeeds_at(
        self, exchange: Exchange, attempt: Attempt, target: Target
    ) -> bool:
        watching_context = self._guard.watch(
            self.call.identify, target.instance, self.call.facts.shared_segments
        )
        try:
            async with watching_context as progress:
                attempt.progress = progress
                await self._run_at(exchange, attempt, target)
        except TargetError as error:
            await self._record_failure(attempt, target, error)
            return False
        self._router.record_success(target.instance.incarnation)
        return True

    async def _run_at(
        self, exchange: Exchange, attempt: Attempt, target: Target
    ) -> None:
        with self._router.in_flight.track(target):
            async with self.handover.running(attempt):
                await exchange.attempt(attempt, target)

    async def _record_failure(
        self, attempt: Attempt, target: Target, error: TargetError
    ) -> None:
        await report_failure(
            self._router, target, error, is_client_paused=attempt.is_paused
        )
        self.choice.record_failure(target, error, has_begun=self.has_begun)
        self._record(attempt, error)
        if isinstance(error, TargetDisconnectedError):
            trace_disconnect(
                self.call,
                target,
                attempt.progress,
                self._router.load(target.instance.id),
            )

    def _record(self, attempt: Attempt, error: TargetError) -> None:
        self.failures.record(error, has_begun=self.has_begun)
        if attempt.is_charged and not self.failures.was_sent:
            self._retries.restore()
        trace_failure(self.call, attempt.name, error)

    def _may_retry(self) -> bool:
        return self.failures.allow_another(self.call, has_begun=self.has_begun)

    def _may_wait(self, error: RequestError | None = None) -> bool:
        """Return whether to look for a target again later.

        A stream that has begun would be cut instead: its client cannot be asked
        to come back.
        """
        is_held = isinstance(error, QuarantinedRequestError)
        return self.has_begun and self._may_retry() and not is_held

    async def _wait(self, reason: str) -> None:
        seconds = self._backoff.postpone(since_boot())
        self.call.trace.add('waits_for_target', why=reason)
        await curio.sleep(max(0, min(seconds, self.call.seconds_left)))

    def _final_error(self, error: RequestError | None = None) -> RequestError:
        """Return what the client gets; ``error`` is why there is no target."""
        if isinstance(error, QuarantinedRequestError):
            self.call.trace.add('held', identity=self.call.identity)
        if error is not None and not self.failures.outweigh(error):
            return error
        return self.failures.final_error(
            lambda: self.choice.retry_after_seconds(has_begun=self.has_begun)
        )
