"""What the failed attempts at a request say about its outcome."""

from collections.abc import Callable

import attrs

from cranecart.exceptions import (
    AllTargetsRefusedError,
    Execution,
    OutcomeUnknownError,
    PeerRefusedError,
    PeerUnableError,
    PeerUnreachableError,
    QuarantinedRequestError,
    RequestError,
    RequestTimeoutError,
    TargetError,
    TargetRefusedError,
    TargetsOutOfReachError,
    TargetTimeoutError,
    TargetUnreachableError,
    TargetWithdrawnError,
)
from cranecart.forwarding._call import RoutedCall

# Unreachable targets do not count towards the route's limit of attempts, so
# they need a limit of their own.
_MAX_UNREACHABLE_TARGETS = 3
# Errors of attempts that reached no target.
NOT_SENT_ERRORS = (
    TargetUnreachableError,
    TargetWithdrawnError,
    PeerUnreachableError,
    PeerUnableError,
)
# Errors of targets that have not run the request and may take it later.
WITHOUT_RUN = (TargetRefusedError, TargetWithdrawnError, PeerRefusedError)
_PEER_ERRORS = (PeerUnreachableError, PeerUnableError)


@attrs.define
class AttemptFailures:
    """The failures of the attempts at one request.

    ``sent_count`` is how many targets may have received it, ``refused_count`` how
    many of these have refused it, ``unreachable_count`` how many could not be
    sent it, and ``connects_failed`` how many of these for a connection that could
    not be opened. ``was_sent`` is whether the last attempt was sent,
    ``was_refused`` whether its target would not take it, and ``any_sent`` whether
    this node has sent any. ``decisive_error`` is that of the attempt which
    decides about the outcome, if any has failed. ``retry_after`` is when targets
    that refused a peer may take the request, in seconds, if any has.
    """

    sent_count: int = 0
    refused_count: int = attrs.field(default=0, init=False)
    any_sent: bool = attrs.field(default=False, init=False)
    unreachable_count: int = attrs.field(default=0, init=False)
    connects_failed: int = attrs.field(default=0, init=False)
    was_sent: bool = attrs.field(default=False, init=False)
    was_refused: bool = attrs.field(default=False, init=False)
    decisive_error: TargetError | None = attrs.field(default=None, init=False)
    retry_after: float | None = attrs.field(default=None, init=False)

    @property
    def may_have_run(self) -> bool:
        """Return whether a target may have run the request."""
        error = self.decisive_error
        return error is not None and error.execution is not Execution.NOT_RUN

    def record(self, error: TargetError, target_count: int = 1) -> None:
        """Record a failed attempt, which may have reached several targets."""
        if isinstance(error, PeerRefusedError):
            target_count = len(error.refused_by)
            self.retry_after = error.retry_after
        self.was_sent = not isinstance(error, NOT_SENT_ERRORS)
        self.any_sent = self.any_sent or self.was_sent
        self.was_refused = isinstance(error, WITHOUT_RUN)
        if self.was_sent:
            self.sent_count += target_count
            self.refused_count += target_count * self.was_refused
        if not self.was_sent and not isinstance(error, _PEER_ERRORS):
            self.unreachable_count += 1
        self.connects_failed += int(isinstance(error, TargetUnreachableError))
        # Once an attempt may have run, a later refusal by another target must
        # not turn the outcome into 'not run'.
        if not self.may_have_run:
            self.decisive_error = error

    def used_attempts(self, *, may_wait: bool) -> int:
        """Return how many of the route's attempts were used up.

        Refusals use up none of a request that ``may_wait`` for a target.
        """
        if may_wait:
            return self.sent_count - self.refused_count
        return self.sent_count

    def outweigh(self, error: RequestError) -> bool:
        """Return whether the earlier outcome takes precedence over an error.

        ``QuarantinedRequestError`` and ``TargetsOutOfReachError`` are reported
        unless the request may have run or targets of peers have refused it.
        """
        if self.decisive_error is None:
            return False
        is_known = self.may_have_run or self.retry_after is not None
        return is_known or not isinstance(
            error, QuarantinedRequestError | TargetsOutOfReachError
        )

    def allow_another(self, call: RoutedCall, *, may_wait: bool) -> bool:
        """Return whether another attempt may follow the failed ones.

        The retry budget is not asked.
        """
        has_tried_enough = self.unreachable_count > _MAX_UNREACHABLE_TARGETS
        if call.seconds_left <= 0 or (has_tried_enough and not may_wait):
            return False
        if self.used_attempts(may_wait=may_wait) >= call.route.attempts:
            return False
        return call.may_repeat or not self.may_have_run

    def final_error(self, retry_after: Callable[[], float]) -> RequestError:
        """Return what the client gets after the last attempt has failed.

        ``retry_after`` returns when it should retry if nothing was run.
        """
        last_error = self.decisive_error
        if last_error is not None and last_error.execution is Execution.NOT_RUN:
            seconds = self.retry_after
            return AllTargetsRefusedError(
                str(last_error),
                retry_after=retry_after() if seconds is None else seconds,
            )
        if isinstance(last_error, TargetTimeoutError):
            return RequestTimeoutError(str(last_error))
        return OutcomeUnknownError(str(last_error))
