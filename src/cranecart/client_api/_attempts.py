"""Retry a call until it ran, may have run or its deadline passed."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import attrs
import curio
from curio.errors import TaskTimeout

from cranecart.client_api._errors import client_error_from
from cranecart.exceptions import (
    DeadlineExceededError,
    Execution,
    NoReplicaError,
    QuarantinedRequestError,
    RequestError,
    TargetError,
    TargetTimeoutError,
)
from cranecart.logs import log_decision
from cranecart.quarantine import RequestGuard
from cranecart.retries import RetryBudget
from cranecart.targets import Call

AnswerT = TypeVar('AnswerT')
Attempt = Callable[[], Awaitable[AnswerT]]

_MAX_ATTEMPTS = 4


@attrs.define
class CallAttempts:
    """The attempts at one call, each at another target."""

    _call: Call
    _budget: RetryBudget
    _guard: RequestGuard
    _attempt_count: int = attrs.field(default=0, init=False)
    _last_error: TargetError | None = attrs.field(default=None, init=False)

    async def run(self, attempt: Attempt[AnswerT]) -> AnswerT:
        """Return the first answer; raise ``RequestError`` if none came.

        A call that may have run is retried only if it is repeatable.
        """
        while self._may_retry():
            self._attempt_count += 1
            await self._guard.wait_until_settled(
                self._identity, self._seconds_left, self._call.segments
            )
            try:
                self._guard.instances_to_avoid(
                    self._identity, self._call.segments
                )
                return await attempt()
            except TargetError as error:
                self._record_failure(error)
            except (NoReplicaError, QuarantinedRequestError) as error:
                raise self._final_error(error) from error
        raise self._final_error(
            DeadlineExceededError(
                'the deadline passed before the call was sent'
            ),
        )

    def _identity(self) -> str:
        return self._call.identity

    def _seconds_left(self) -> float:
        return self._call.seconds_left

    def _record_failure(self, error: TargetError) -> None:
        # Once an attempt may have run, a later refusal by another target must
        # not turn the outcome into 'not run'.
        if (
            self._last_error is None
            or self._last_error.execution is Execution.NOT_RUN
        ):
            self._last_error = error
        log_decision(
            'attempt_failed',
            request=self._call.request_id,
            attempt=self._attempt_count,
            execution=error.execution.value,
            why=str(error),
        )

    def _may_retry(self) -> bool:
        if self._attempt_count >= _MAX_ATTEMPTS or self._call.seconds_left <= 0:
            return False
        if self._last_error is None:
            self._budget.deposit()
            return True
        is_safe = (
            self._call.repeatable
            or self._last_error.execution is Execution.NOT_RUN
        )
        return is_safe and self._budget.withdraw()

    def _final_error(self, error_before_sending: RequestError) -> RequestError:
        is_held = isinstance(error_before_sending, QuarantinedRequestError)
        last_error = self._last_error
        if last_error is None or (
            is_held and last_error.execution is Execution.NOT_RUN
        ):
            return error_before_sending
        return client_error_from(last_error)


async def within_deadline(
    call: Call,
    function: Callable[..., Awaitable[AnswerT]],
    *arguments: object,
) -> AnswerT:
    """Return the result; raise ``TargetTimeoutError`` at the deadline."""
    try:
        return await curio.timeout_after(
            call.seconds_left,
            function,
            *arguments,
        )
    except TaskTimeout as error:
        raise TargetTimeoutError(
            'no complete response before the deadline',
        ) from error
