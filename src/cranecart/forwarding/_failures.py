"""What the failed attempts at a request say about its outcome."""

import attrs

from cranecart.exceptions import (
    Execution,
    PeerUnableError,
    PeerUnreachableError,
    QuarantinedRequestError,
    RequestError,
    TargetError,
    TargetsOutOfReachError,
    TargetUnreachableError,
    TargetWithdrawnError,
)

_NOT_SENT_ERRORS = (
    TargetUnreachableError,
    TargetWithdrawnError,
    PeerUnreachableError,
    PeerUnableError,
)
_PEER_ERRORS = (PeerUnreachableError, PeerUnableError)


@attrs.define
class AttemptFailures:
    """The failures of the attempts at one request.

    ``sent_count`` is how many targets may have received it,
    ``unreachable_count`` how many could not be sent it, ``connects_failed`` how
    many of these for a connection that could not be opened, and ``was_sent`` is
    whether the last attempt was sent. ``decisive_error`` is that of the attempt
    which decides about the outcome, if any has failed.
    """

    sent_count: int = 0
    unreachable_count: int = attrs.field(default=0, init=False)
    connects_failed: int = attrs.field(default=0, init=False)
    was_sent: bool = attrs.field(default=False, init=False)
    decisive_error: TargetError | None = attrs.field(default=None, init=False)

    @property
    def may_have_run(self) -> bool:
        """Return whether a target may have run the request."""
        error = self.decisive_error
        return error is not None and error.execution is not Execution.NOT_RUN

    def record(self, error: TargetError) -> None:
        """Record a failed attempt."""
        self.was_sent = not isinstance(error, _NOT_SENT_ERRORS)
        self.sent_count += int(self.was_sent)
        if not self.was_sent and not isinstance(error, _PEER_ERRORS):
            self.unreachable_count += 1
        self.connects_failed += int(isinstance(error, TargetUnreachableError))
        # Once an attempt may have run, a later refusal by another target must
        # not turn the outcome into 'not run'.
        if not self.may_have_run:
            self.decisive_error = error

    def outweigh(self, error: RequestError) -> bool:
        """Return whether the earlier outcome takes precedence over an error.

        ``QuarantinedRequestError`` and ``TargetsOutOfReachError`` are reported
        unless the request may have run.
        """
        if self.decisive_error is None:
            return False
        return self.may_have_run or not isinstance(
            error, QuarantinedRequestError | TargetsOutOfReachError
        )
