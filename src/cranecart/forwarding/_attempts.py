"""Decide whether a request goes to another target."""

from collections.abc import Awaitable, Callable

import attrs

from cranecart.exceptions import (
    Execution,
    HeldError,
    NoReplicaError,
    NotTakenError,
    OutcomeUnknownError,
    OverloadedError,
    RequestError,
    TargetDisconnectedError,
    TargetError,
    TargetNotReachedError,
    TargetTimeoutError,
    TargetWithdrawnError,
    TimeoutPassedError,
)
from cranecart.forwarding._call import RoutedCall, wanted
from cranecart.quarantine import AttemptProgress, RequestGuard
from cranecart.retries import SharedRetryBudget
from cranecart.routing import RoutingRequest, Target, TargetRouter

# When to come back with more time left, in seconds.
_NO_TIME_SECONDS = 0.2
# What has less time left than this part of its objective would be cut before
# any target could answer it; objectives begin at 0.1 s on the users' sheets.
_LEAST_PART = 0.1
_LEAST_SECONDS = 0.02
# Targets that could not be reached at all count in no limit of the route,
# but are not tried for ever.
_MOST_NOT_REACHED = 3
_NOT_SENT = (TargetNotReachedError, TargetWithdrawnError)
_NOWHERE = (HeldError, NoReplicaError, NotTakenError, OverloadedError)


@attrs.define
class RoutedAttempts:
    """The targets that one request was sent to, and what came of it."""

    call: RoutedCall
    _router: TargetRouter
    _budget: SharedRetryBudget
    _guard: RequestGuard
    tried: list[str] = attrs.field(factory=list, init=False)
    has_begun: bool = attrs.field(default=False, init=False)
    _sent: int = attrs.field(default=0, init=False)
    _not_reached: int = attrs.field(default=0, init=False)
    _last: TargetError | None = attrs.field(default=None, init=False)
    _watch: AttemptProgress | None = attrs.field(default=None, init=False)

    async def run(self, attempt: Callable[[Target], Awaitable[None]]) -> None:
        """Attempt until one succeeds; raise ``RequestError`` for the last."""
        self._budget.record_request(self.call.service)
        while not await self._succeeds(attempt, self._choose()):
            if not self._may_go_on():
                raise self._final_error()

    def may_try_another(self) -> bool:
        """Tell whether one more target is there and allowed.

        The present one is counted only once its attempt has ended.
        """
        call = self.call
        if not call.may_repeat or self._sent + 1 >= call.route.attempts:
            return False
        return self._router.has_untried_target(
            call.config,
            call.service,
            call.facts.model,
            self.tried,
        )

    def begun(self, target: Target) -> None:
        """Take over that an event came, maybe the first after a move."""
        if self._watch is not None:
            self._watch.record_progress()
        if not self.has_begun:
            self._router.record_first_event(target, self.call.facts.model)
        self.has_begun = True

    def answering(self) -> None:
        """Take over that the present target has begun to answer."""
        if self._watch is not None:
            self._watch.record_begun()

    async def _succeeds(
        self,
        attempt: Callable[[Target], Awaitable[None]],
        target: Target,
    ) -> bool:
        watching = self._guard.watch(self._identity, target.instance)
        try:
            async with watching as watch:
                self._watch = watch
                with self._router.track_in_flight(target):
                    await attempt(target)
        except TargetError as error:
            self._note(target, error)
            return False
        self._router.record_success(target.instance.incarnation)
        return True

    def _wanted(self) -> RoutingRequest:
        return wanted(
            self.call,
            self.tried,
            self._guard.instances_to_avoid(self._identity),
            has_begun=self.has_begun,
        )

    def _choose(self) -> Target:
        call = self.call
        try:
            self._check_time()
            target = self._router.choose(self._wanted())
        except _NOWHERE as error:
            if isinstance(error, HeldError):
                call.trace.add('held', identity=call.identity)
            if self._last is None or not self._is_worse_than(error):
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
            returned=round(call.returned_seconds, 3),
            passed_over=target.throttled,
            tried=list(self.tried),
        )
        self.tried.append(target.instance.id)
        return target

    def _check_time(self) -> None:
        least = min(
            _LEAST_PART * self.call.route.objective_seconds,
            _LEAST_SECONDS,
        )
        if not self.has_begun and self.call.seconds_left <= least:
            raise NotTakenError(
                'no time is left for any target',
                retry_after=_NO_TIME_SECONDS,
            )

    def _note(self, target: Target, error: TargetError) -> None:
        if isinstance(error, _NOT_SENT):
            self._not_reached += 1
        else:
            self._sent += 1
        is_broken = isinstance(error, TargetDisconnectedError)
        self._count_failure(target, error)
        # Once it may have run, a later refusal does not make it 'not run'.
        if not self._has_run:
            self._last = error
        self.call.trace.is_notable = True
        self.call.trace.add(
            'attempt_failed',
            instance=target.instance.id,
            execution=error.execution.value,
            why=str(error),
            left=round(self.call.seconds_left, 3),
        )
        if is_broken:
            self._tell_disconnected(target)

    def _count_failure(self, target: Target, error: TargetError) -> None:
        incarnation = target.instance.incarnation
        if isinstance(error, TargetWithdrawnError):
            # That it said so in time is no failure.
            return
        if (
            isinstance(error, TargetDisconnectedError)
            and not target.replica_epoch
        ):
            self._router.record_broken_connection(incarnation)
            return
        is_reached = not isinstance(error, TargetNotReachedError)
        self._router.record_failure(incarnation, reached=is_reached)

    def _tell_disconnected(self, target: Target) -> None:
        """Log what shows whether the request has ended its target."""
        watch = self._watch
        self.call.trace.add(
            'target_disconnected',
            instance=target.instance.id,
            born=target.instance.born,
            identity=self.call.identity,
            begun=watch is not None and watch.has_begun,
            progress_for=watch and round(watch.progress_seconds, 3),
            beside=self._router.load(target.instance.id),
        )

    def _identity(self) -> str:
        return self.call.identity

    def _is_worse_than(self, error: RequestError) -> bool:
        """Tell whether what came of it before weighs more than an error.

        That it is held is told unless the request may have run.
        """
        return self._has_run or not isinstance(error, HeldError)

    @property
    def _has_run(self) -> bool:
        """Tell whether a target may have run the request."""
        last = self._last
        return last is not None and last.execution is not Execution.NOT_RUN

    def _may_go_on(self) -> bool:
        call = self.call
        if call.seconds_left <= 0 or self._not_reached > _MOST_NOT_REACHED:
            return False
        if self._sent >= call.route.attempts:
            return False
        if not call.may_repeat and self._has_run:
            return False
        # What has reached no target costs none of them anything yet.
        return not self._sent or self._budget.withdraw(call.service)

    def _final_error(self) -> RequestError:
        last = self._last
        if last is not None and last.execution is Execution.NOT_RUN:
            again = wanted(self.call, (), has_begun=self.has_begun)
            return NotTakenError(
                str(last),
                retry_after=self._router.retry_after_seconds(again),
            )
        if isinstance(last, TargetTimeoutError):
            return TimeoutPassedError(str(last))
        return OutcomeUnknownError(str(last))
