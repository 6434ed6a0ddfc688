"""Retry a request at other targets where the route and budget allow it."""

from collections.abc import Awaitable, Callable

import attrs

from cranecart.exceptions import (
    AllTargetsRefusedError,
    Execution,
    NoReplicaError,
    OutcomeUnknownError,
    OverloadedError,
    QuarantinedRequestError,
    RequestError,
    RequestTimeoutError,
    TargetDisconnectedError,
    TargetError,
    TargetTimeoutError,
    TargetUnreachableError,
    TargetWithdrawnError,
)
from cranecart.forwarding._call import RoutedCall, routing_request
from cranecart.quarantine import AttemptProgress, RequestGuard
from cranecart.retries import SharedRetryBudget
from cranecart.routing import RoutingRequest, Target, TargetRouter

# Retry-after sent with requests that arrive with too little time left.
_NO_TIME_RETRY_AFTER_SECONDS = 0.2
# With less time left than this, a request would time out before any target
# could answer. Operators configure objectives from 0.1 s upwards.
_MIN_OBJECTIVE_FRACTION = 0.1
_MIN_SECONDS_LEFT = 0.02
# Unreachable targets do not count towards the route's limit of attempts, so
# they need a limit of their own.
_MAX_UNREACHABLE_TARGETS = 3
_NOT_SENT_ERRORS = (TargetUnreachableError, TargetWithdrawnError)
_NO_TARGET_ERRORS = (
    QuarantinedRequestError,
    NoReplicaError,
    AllTargetsRefusedError,
    OverloadedError,
)


@attrs.define
class RoutedAttempts:
    """The attempts at one request, each at another target.

    ``tried`` lists the instances that were chosen so far, ``has_begun`` is
    whether any of them has sent an event of a stream.
    """

    call: RoutedCall
    _router: TargetRouter
    _budget: SharedRetryBudget
    _guard: RequestGuard
    tried: list[str] = attrs.field(factory=list, init=False)
    has_begun: bool = attrs.field(default=False, init=False)
    _is_paused_by_client: bool = attrs.field(default=False, init=False)
    _sent_count: int = attrs.field(default=0, init=False)
    _unreachable_count: int = attrs.field(default=0, init=False)
    _last_error: TargetError | None = attrs.field(default=None, init=False)
    _progress: AttemptProgress | None = attrs.field(default=None, init=False)

    async def run(self, attempt: Callable[[Target], Awaitable[None]]) -> None:
        """Repeat until an attempt succeeds.

        Raise the ``RequestError`` that the client gets if none does.
        """
        self._budget.record_request(self.call.service)
        while not await self._succeeds(attempt, self._choose()):
            if not self._may_retry():
                raise self._final_error()

    def may_try_another(self) -> bool:
        """Return whether an untried target exists and may still be tried.

        The current attempt is not in ``_sent_count`` until it has ended.
        """
        call = self.call
        if not call.may_repeat or self._sent_count + 1 >= call.route.attempts:
            return False
        return self._router.has_untried_target(
            call.config,
            call.service,
            call.facts.model,
            self.tried,
        )

    def record_progress(self, target: Target) -> None:
        """Record that an event arrived from the current target."""
        if self._progress is not None:
            self._progress.record_progress()
        if not self.has_begun:
            self._router.record_first_event(target, self.call.facts.model)
        self.has_begun = True

    def record_answer_started(self) -> None:
        """Record that the current target has started to answer."""
        if self._progress is not None:
            self._progress.record_begun()

    def record_client_pause(self) -> None:
        """Record that the client left the current target's stream unread."""
        self._is_paused_by_client = True

    async def _succeeds(
        self,
        attempt: Callable[[Target], Awaitable[None]],
        target: Target,
    ) -> bool:
        self._is_paused_by_client = False
        watching_context = self._guard.watch(self._identity, target.instance)
        try:
            async with watching_context as progress:
                self._progress = progress
                with self._router.track_in_flight(target):
                    await attempt(target)
        except TargetError as error:
            self._record_failure(target, error)
            return False
        self._router.record_success(target.instance.incarnation)
        return True

    def _routing_request(self) -> RoutingRequest:
        return routing_request(
            self.call,
            self.tried,
            self._guard.instances_to_avoid(self._identity),
            has_begun=self.has_begun,
        )

    def _choose(self) -> Target:
        call = self.call
        try:
            self._check_time_left()
            target = self._router.choose(self._routing_request())
        except _NO_TARGET_ERRORS as error:
            if isinstance(error, QuarantinedRequestError):
                call.trace.add('held', identity=call.identity)
            if self._last_error is None or not self._outweighs(error):
                raise
            raise self._final_error() from error
        call.trace.add(
            'routed',
            instance=target.instance.id,
            replica=target.replica_epoch,
            load=target.load,
            why=target.reason,
            forecast=round(target.forecast_seconds, 3),
            learned=round(target.error_seconds, 3),
            pace=round(target.pace, 2),
            returned=round(call.retrying_for_seconds, 3),
            passed_over=target.throttled,
            tried=list(self.tried),
        )
        self.tried.append(target.instance.id)
        return target

    def _check_time_left(self) -> None:
        min_seconds = min(
            _MIN_OBJECTIVE_FRACTION * self.call.route.objective_seconds,
            _MIN_SECONDS_LEFT,
        )
        if not self.has_begun and self.call.seconds_left <= min_seconds:
            raise AllTargetsRefusedError(
                'no time is left for any target',
                retry_after=_NO_TIME_RETRY_AFTER_SECONDS,
            )

    def _record_failure(self, target: Target, error: TargetError) -> None:
        if isinstance(error, _NOT_SENT_ERRORS):
            self._unreachable_count += 1
        else:
            self._sent_count += 1
        is_disconnected = isinstance(error, TargetDisconnectedError)
        self._report_failure(target, error)
        # Once an attempt may have run, a later refusal by another target must
        # not turn the outcome into 'not run'.
        if not self._may_have_run:
            self._last_error = error
        self.call.trace.is_notable = True
        self.call.trace.add(
            'attempt_failed',
            instance=target.instance.id,
            execution=error.execution.value,
            why=str(error),
            left=round(self.call.seconds_left, 3),
        )
        if is_disconnected:
            self._log_disconnect(target)

    def _report_failure(self, target: Target, error: TargetError) -> None:
        incarnation = target.instance.incarnation
        if isinstance(error, TargetWithdrawnError):
            # Not a failure: nothing was sent, as the target asked for a pause
            # or was evacuated.
            return
        is_disconnected = isinstance(error, TargetDisconnectedError)
        if is_disconnected and self._is_paused_by_client:
            # Targets cut off responses that stay unread. Three such streams
            # would eject a healthy target.
            return
        if is_disconnected and not target.replica_epoch:
            self._router.record_broken_connection(incarnation)
            return
        is_reached = not isinstance(error, TargetUnreachableError)
        self._router.record_failure(incarnation, reached=is_reached)

    def _log_disconnect(self, target: Target) -> None:
        """Log data that may show whether the request crashed its target."""
        progress = self._progress
        self.call.trace.add(
            'target_disconnected',
            instance=target.instance.id,
            born=target.instance.born,
            identity=self.call.identity,
            begun=progress is not None and progress.has_begun,
            progress_for=progress and round(progress.progress_seconds, 3),
            beside=self._router.load(target.instance.id),
        )

    def _identity(self) -> str:
        return self.call.identity

    def _outweighs(self, error: RequestError) -> bool:
        """Return whether the earlier outcome takes precedence over an error.

        ``QuarantinedRequestError`` is reported unless the request may have run.
        """
        return self._may_have_run or not isinstance(
            error, QuarantinedRequestError
        )

    @property
    def _may_have_run(self) -> bool:
        """Return whether a target may have run the request."""
        last_error = self._last_error
        return (
            last_error is not None
            and last_error.execution is not Execution.NOT_RUN
        )

    def _may_retry(self) -> bool:
        call = self.call
        if (
            call.seconds_left <= 0
            or self._unreachable_count > _MAX_UNREACHABLE_TARGETS
        ):
            return False
        if self._sent_count >= call.route.attempts:
            return False
        if not call.may_repeat and self._may_have_run:
            return False
        # Only retries after a request was sent are charged to the budget:
        # attempts that reached no target put no load on any.
        return not self._sent_count or self._budget.withdraw(call.service)

    def _final_error(self) -> RequestError:
        last_error = self._last_error
        if last_error is not None and last_error.execution is Execution.NOT_RUN:
            request_for_retry = routing_request(
                self.call, (), has_begun=self.has_begun
            )
            return AllTargetsRefusedError(
                str(last_error),
                retry_after=self._router.retry_after_seconds(request_for_retry),
            )
        if isinstance(last_error, TargetTimeoutError):
            return RequestTimeoutError(str(last_error))
        return OutcomeUnknownError(str(last_error))
