"""The tree of errors; each says what happened and what to do about it."""

import enum
from typing import final


class Execution(enum.Enum):
    """Whether a request that ended in an error ran on a target."""

    NOT_RUN = 'not run'
    OUTCOME_UNKNOWN = 'outcome unknown'


class CranecartError(Exception):
    """Base of every error that the program raises on purpose."""


class ConfigError(CranecartError):
    """Declarations or settings are wrong; nothing was changed."""


class UsageError(CranecartError):
    """A command was called with other words than it takes."""


class HttpError(CranecartError):
    """Base of the errors of the HTTP layer."""


class ConnectFailedError(HttpError):
    """No connection was made, so nothing was sent."""


@final
class ConnectRefusedError(ConnectFailedError):
    """The host answered that nothing listens at the port."""


class ConnectionBrokenError(HttpError):
    """The connection ended before the whole message was exchanged."""


class PeerTimeoutError(HttpError):
    """The peer did not answer within the time it was given."""


class BadMessageError(HttpError):
    """The peer sent something that is not acceptable HTTP."""

    def __init__(self, message: str, status: int = 400) -> None:
        """Keep the status code that tells the peer what was wrong."""
        super().__init__(message)
        self.status = status


class PlatformError(CranecartError):
    """Base of the errors of the platform's services."""


class PlatformUnavailableError(PlatformError):
    """The platform did not take the call; a read or write did not happen."""


class WriteUnknownError(PlatformError):
    """A write was sent but its answer was lost; read back to find out."""


class WriteConflictError(PlatformError):
    """A condition of a transaction did not hold; nothing was written."""


class HistoryLostError(PlatformError):
    """Changes since a version cannot be had; read everything anew."""


class PlatformTimeoutError(PlatformUnavailableError):
    """No answer came in time; other connections may be silent as well."""


class ReadAbandonedError(PlatformError):
    """A read was given up, as its connection may be silent; ask anew."""


class CorruptObjectError(PlatformError):
    """An object's bytes do not match its checksum."""


class TargetError(CranecartError):
    """Base of the errors of a target; says whether the request ran."""

    execution = Execution.OUTCOME_UNKNOWN


@final
class TargetUnreachableError(TargetError):
    """The request never left for the target."""

    execution = Execution.NOT_RUN


@final
class TargetWithdrawnError(TargetError):
    """The target said after it was chosen that it takes none; none was sent."""

    execution = Execution.NOT_RUN


@final
class TargetRefusedError(TargetError):
    """The target itself said that it did not run the request."""

    execution = Execution.NOT_RUN


class TargetFailedError(TargetError):
    """The target went away or answered wrongly after the request was sent."""


@final
class TargetDisconnectedError(TargetFailedError):
    """The connection ended before the answer did; the target may have ended."""


@final
class TargetTimeoutError(TargetError):
    """The target did not answer within the time the request had left."""


class OrderError(CranecartError):
    """Base of the errors of an order to an engine instance."""


@final
class OrderRefusedError(OrderError):
    """The instance refused the order, which does not fit its state."""


@final
class OrderFencedError(OrderError):
    """The instance has seen a later holder of the duty; stop ordering."""


@final
class OrderUnknownError(OrderError):
    """No answer came; the order may have been taken, or may be later."""


@final
class TargetGoneError(OrderError):
    """That life of the instance is over; nothing of it serves any more."""


@final
class TargetNotListeningError(OrderError):
    """The instance takes no connection: it crashed, or leaves soon.

    One that leaves stops listening before it has finished what it has, so
    that a replica with this head may go on serving for some seconds.
    """


class LeaseLostError(CranecartError):
    """The lease of a duty is no longer held; the duty's work must stop."""


class OperatorError(CranecartError):
    """A call of an operator's command failed."""


class RequestError(CranecartError):
    """Base of the errors that a client is told.

    ``status`` is the HTTP status, ``code`` the stable word for programs,
    ``retry_after`` the seconds after which to come back, or ``None``.
    """

    status = 500
    code = 'internal_error'
    execution = Execution.NOT_RUN
    retry_after: float | None = None

    def __init__(
        self,
        message: str,
        *,
        retry_after: float | None = None,
    ) -> None:
        """Keep when to come back beside the message."""
        super().__init__(message)
        if retry_after is not None:
            self.retry_after = retry_after


class InvalidRequestError(RequestError):
    """The request is malformed."""

    status = 400
    code = 'invalid_request'


class UnauthorizedError(RequestError):
    """The key is unknown."""

    status = 401
    code = 'unauthorized'


class NotFoundError(RequestError):
    """The organisation has no such model, service or path."""

    status = 404
    code = 'not_found'


class IdempotencyKeyReusedError(RequestError):
    """The idempotency key was used with another request."""

    status = 422
    code = 'idempotency_key_reused'


class OverLimitError(RequestError):
    """The organisation is over its share."""

    status = 429
    code = 'over_limit'
    retry_after = 1.0


class OverloadedError(RequestError):
    """The node sheds load of this priority."""

    status = 503
    code = 'overloaded'
    retry_after = 1.0


class NoReplicaError(RequestError):
    """No whole replica serves the model now."""

    status = 503
    code = 'no_replica'
    retry_after = 2.0


class QuarantinedRequestError(RequestError):
    """The request has ended several targets, and is not sent to another.

    It is no mistake that its client could mend in the request, and one that is
    held wrongly may be served later: it is told when to come back, long after
    what it did is noticed.
    """

    status = 503
    code = 'held'
    retry_after = 300.0


class ClaimStoreUnavailableError(RequestError):
    """The claim that a non-repeatable request needs cannot be made."""

    status = 503
    code = 'platform_unavailable'
    retry_after = 5.0


class NotConfiguredError(RequestError):
    """The node has no configuration yet."""

    status = 503
    code = 'not_configured'
    retry_after = 2.0


class ReplicasUnknownError(RequestError):
    """The node has started and does not know the replicas yet."""

    status = 503
    code = 'not_informed'
    retry_after = 1.0


class DeadlineExceededError(RequestError):
    """The deadline passed before the request was sent to a target."""

    status = 504
    code = 'deadline_exceeded'
    retry_after = 1.0


class AllTargetsRefusedError(RequestError):
    """Every target that was asked refused the request."""

    status = 503
    code = 'not_taken'
    retry_after = 1.0


class InternalFaultError(RequestError):
    """This node failed in a way that nobody thought of, before sending."""

    status = 503
    code = 'internal_fault'
    retry_after = 1.0


class OutcomeUnknownError(RequestError):
    """The request was sent and what became of it is not known."""

    status = 502
    code = 'outcome_unknown'
    execution = Execution.OUTCOME_UNKNOWN


class RequestTimeoutError(OutcomeUnknownError):
    """The time of the request or of its route passed while it ran."""

    status = 504
    code = 'timeout_passed'


class ClaimUnreadableError(OutcomeUnknownError):
    """The table is away, so an earlier copy's claim cannot be read."""

    status = 503
    code = 'claim_unreadable'
    retry_after = 5.0
