"""Retry a request at other targets where the route and budget allow it."""

import functools
from typing import Protocol, Self

import attrs
import curio

from cranecart.clocks import since_boot
from cranecart.exceptions import (
    AllTargetsRefusedError,
    Execution,
    NoReplicaError,
    OverloadedError,
    PeerAnsweredError,
    QuarantinedRequestError,
    RequestError,
    TargetDisconnectedError,
    TargetError,
    TargetRefusedError,
    TargetsOutOfReachError,
)
from cranecart.forwarding._arrivals import Arrivals
from cranecart.forwarding._attempt import Attempt
from cranecart.forwarding._attempt_limit import AttemptLimit
from cranecart.forwarding._attempt_log import trace_disconnect, trace_failure
from cranecart.forwarding._call import RoutedCall
from cranecart.forwarding._failure_reports import report_failure
from cranecart.forwarding._handover import Handover
from cranecart.forwarding._peer_requests import PeersOfCall
from cranecart.forwarding._replacement import Replacement
from cranecart.forwarding._request_state import RequestState
from cranecart.forwarding._target_choice import TargetChoice
from cranecart.peer_calls import (
    Peer,
    PeerCall,
    PeerClient,
    PeerRequest,
    ask_for_attempt,
)
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

    ``state`` is what they have come to, ``handover`` decides which of them is
    passed on, ``choice`` where they go, ``limit`` how many there are.
    ``has_started`` is whether any was made. ``_peers`` are the nodes that the
    request may be passed on to.
    """

    state: RequestState
    _router: TargetRouter
    _guard: RequestGuard
    _peers: PeersOfCall | None = None
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
                attempts.state,
                attempts._router,
                attempts._guard,
                attempts._peers,
            ),
            takes_self=True,
        ),
        init=False,
    )
    _arrivals: Arrivals = attrs.field(
        default=attrs.Factory(
            lambda attempts: Arrivals(attempts.state.retries), takes_self=True
        ),
        init=False,
    )
    limit: AttemptLimit = attrs.field(
        default=attrs.Factory(
            lambda attempts: AttemptLimit(
                attempts.state, attempts.handover, attempts.choice
            ),
            takes_self=True,
        ),
        init=False,
    )

    @classmethod
    def of_client(
        cls,
        call: RoutedCall,
        router: TargetRouter,
        budget: SharedRetryBudget,
        guard: RequestGuard,
        peers: PeersOfCall | None,
    ) -> Self:
        """Return the attempts at a request of this node's client."""
        retries = RequestRetries(budget, call.service)
        return cls(RequestState(call, retries), router, guard, peers)

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
        state = RequestState(
            call,
            RequestRetries(budget, call.service),
            is_of_peer=True,
            has_begun=message.has_begun,
        )
        sent_before = max(0, call.route.attempts - message.attempts_left)
        state.failures.sent_count = sent_before
        attempts = cls(state, router, guard)
        attempts.limit.require_grants(
            sent_before + 1,
            functools.partial(
                ask_for_attempt, message.grant_address, message.call_id
            ),
        )
        for instance_id in message.tried:
            attempts.choice.exclude(instance_id)
        return attempts

    @property
    def call(self) -> RoutedCall:
        """Return the request."""
        return self.state.call

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
            self._arrivals.settle()

    def may_try_another(self) -> bool:
        """Return whether another target or peer may be tried as well.

        Attempts that run are not in ``sent_count`` until they have ended.
        """
        left = self.state.attempts_left(self.handover.target_count)
        if left <= 0 or not self.call.may_repeat or self.call.seconds_left <= 0:
            return False
        return self.choice.is_any_left(only_lost=self.choice.lost_count >= left)

    def may_drop_error(self, attempt: Attempt) -> bool:
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
        if isinstance(choice, Target) and not self.state.has_begun:
            self._router.record_first_event(choice, self.call.facts.model)
        self.state.has_begun = True

    async def _attempt(self, exchange: Exchange) -> bool:
        """Make the next attempt; return whether it succeeded."""
        await self._guard.wait_until_settled(
            self.call.identify,
            lambda: self.call.seconds_left,
            self.call.facts.shared_segments,
        )
        # Only retries after a request was sent are charged to the budget:
        # attempts that reached no target put no load on any.
        is_charged = self.state.failures.any_sent
        if is_charged and not self.state.retries.is_available():
            return self._wait_for_retry()
        try:
            choice = self.choice.choose()
        except _NO_TARGET_ERRORS as error:
            is_held = isinstance(error, QuarantinedRequestError)
            if is_held or not self.state.postpone(str(error)):
                raise self._final_error(error) from error
            return False
        if is_charged and not self.state.retries.take():
            self.choice.readmit(choice)
            return self._wait_for_retry()
        attempt = self._start(choice, is_charged=is_charged)
        self.handover.begin(attempt)
        return await self._succeeds(exchange, attempt)

    async def _continue(self, exchange: Exchange) -> bool:
        """Go on after an attempt has failed; return whether one succeeded."""
        next_leader = self.handover.promote()
        if next_leader is not None:
            return await next_leader.result()
        if not self.state.may_retry:
            raise self._final_error()
        await self.state.wait()
        if not await self.limit.is_granted():
            raise self._final_error()
        return await self._attempt(exchange)

    def _wait_for_retry(self) -> bool:
        """Put the next attempt off until a retry may be allowed."""
        self.call.trace.add('retry_refused', service=self.call.service)
        if not self.state.postpone('no retry is allowed'):
            raise self._final_error()
        return False

    async def _try_beside(self, exchange: Exchange, reason: str) -> None:
        """Start another attempt beside those that run, if one is allowed.

        What runs may still succeed, while the next target may refuse and there
        may be no retry left for it.
        """
        now = since_boot()
        if self.state.backoff.seconds_left(now) or not self.may_try_another():
            return
        self.state.backoff.postpone(now)
        if not await self.limit.is_granted():
            return
        choice = self._choose_beside()
        if choice is None:
            return
        self.call.trace.is_notable = True
        self.call.trace.add('attempt_added', why=reason)
        attempt = self._start(choice, is_charged=True)
        task = await curio.spawn(
            self._run_beside, exchange, attempt, daemon=True
        )
        self.handover.add(attempt, task)

    def _start(self, choice: Target | Peer, *, is_charged: bool) -> Attempt:
        self.choice.record_start(choice)
        attempt = Attempt(
            choice, self.state.retries.withdrawn_at if is_charged else None
        )
        if isinstance(choice, Target):
            attempt.tracking.enter_context(self._router.in_flight.track(choice))
        return attempt

    def _choose_beside(self) -> Target | Peer | None:
        """Return where an attempt beside others goes, if it is allowed."""
        seconds = self._guard.isolated_sends.seconds_to_wait(
            self.call.identify, segments=self.call.facts.shared_segments
        )
        if seconds > 0 or not self.state.retries.is_available():
            return None
        left = self.state.attempts_left(self.handover.target_count)
        try:
            choice = self.choice.choose(
                only_lost=self.choice.lost_count >= left
            )
        except _NO_TARGET_ERRORS:
            return None
        if self.state.retries.take():
            return choice
        self.choice.readmit(choice)
        return None

    async def _run_beside(self, exchange: Exchange, attempt: Attempt) -> bool:
        try:
            return await self._succeeds(exchange, attempt)
        except RequestError as error:
            if self.handover.is_leading(attempt):
                raise
            trace_failure(self.call, attempt.name, error)
            return False
        except curio.CancelledError:
            if attempt.is_cancelled:
                self.choice.record_lost(attempt)
            raise

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
        others = self.handover.target_count - attempt.target_count
        client, call = self.choice.call_through(
            peer,
            self.state.attempts_left(others),
            self.replacement(exchange, attempt).check,
            functools.partial(self.limit.grant, attempt),
        )
        try:
            async with self.handover.running(attempt):
                with self._arrivals.track_through(attempt):
                    await exchange.attempt_through(attempt, client, call)
        except TargetError as error:
            self.choice.record_peer_failure(error)
            self.state.record_failure(attempt, error)
            return False
        except PeerAnsweredError as error:
            if self.state.may_wait and error.execution is Execution.NOT_RUN:
                refusal = TargetRefusedError(str(error))
                self.state.record_failure(attempt, refusal)
                return False
            if not self.state.failures.may_have_run:
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
                progress.is_resumed = self.state.has_begun
                await self._run_at(exchange, attempt, target)
        except TargetError as error:
            await self._record_failure(attempt, target, error)
            return False
        self._router.record_success(target.instance.incarnation)
        return True

    async def _run_at(
        self, exchange: Exchange, attempt: Attempt, target: Target
    ) -> None:
        incarnation = target.instance.incarnation
        tracking = self._arrivals.track(
            attempt,
            functools.partial(self._router.stalls.has_heard, incarnation),
        )
        with attempt.tracking:
            async with self.handover.running(attempt):
                with tracking:
                    await exchange.attempt(attempt, target)

    async def _record_failure(
        self, attempt: Attempt, target: Target, error: TargetError
    ) -> None:
        await report_failure(
            self._router, target, error, is_client_paused=attempt.is_paused
        )
        self.choice.record_failure(target, error)
        self.state.record_failure(attempt, error)
        if isinstance(error, TargetDisconnectedError):
            trace_disconnect(
                self.call,
                target,
                attempt.progress,
                self._router.load(target.instance.id),
            )

    def _final_error(self, error: RequestError | None = None) -> RequestError:
        """Return what the client gets; ``error`` is why there is no target."""
        if isinstance(error, QuarantinedRequestError):
            self.call.trace.add('held', identity=self.call.identity)
        failures = self.state.failures
        if error is not None and not failures.outweigh(error):
            return error
        return failures.final_error(self.choice.retry_after_seconds)
