"""Exception hierarchy of the program."""

import enum
from collections.abc import Sequence
from typing import final


class Execution(enum.Enum):
    """Whether a request that ended in an error ran on a target."""

    NOT_RUN = 'not run'
    OUTCOME_UNKNOWN = 'outcome unknown'


class CranecartError(Exception):
    """Base class of all errors that the program raises."""


class ConfigError(CranecartError):
    """Declarations or settings are invalid; nothing was changed."""


class UsageError(CranecartError):
    """A command was called with invalid arguments."""


class HttpError(CranecartError):
    """Base of the errors of the HTTP layer."""


class ConnectFailedError(HttpError):
    """The connection could not be established; nothing was sent."""


@final
class ConnectRefusedError(ConnectFailedError):
    """The host refused the connection: nothing listens on the port."""


class ConnectionBrokenError(HttpError):
    """The connection closed before the message was complete."""


class PeerTimeoutError(HttpError):
    """The peer did not answer within the timeout."""


class BadMessageError(HttpError):
    """The peer sent invalid or unsupported HTTP."""

    def __init__(self, message: str, status: int = 400) -> None:
        """Store the HTTP status code to answer the peer with."""
        super().__init__(message)
        self.status = status


class MessageTooLargeError(HttpError):
    """The peer sent more than is accepted; correct it or raise the limit."""


class ReceiveMemoryError(HttpError):
    """All responses at hand took more memory than allowed; try again later."""


class RequestCutError(HttpError):
    """All requests at hand took more memory than allowed; try again later."""


class PlatformError(CranecartError):
    """Base class of errors of the platform's services."""


class PlatformUnavailableError(PlatformError):
    """The platform did not accept the call; nothing was read or written."""


class WriteUnknownError(PlatformError):
    """The response to a write was lost; read back to find the outcome."""


class WriteConflictError(PlatformError):
    """A precondition of a transaction failed; nothing was written."""


class HistoryLostError(PlatformError):
    """Changes since a version are unavailable; a full read is needed."""


class PlatformTimeoutError(PlatformUnavailableError):
    """No response arrived in time; other connections may also be dead."""


class ReadAbandonedError(PlatformError):
    """A read was abandoned because its connection may be dead; retry."""


class CorruptObjectError(PlatformError):
    """An object's bytes do not match its checksum."""


class TargetError(CranecartError):
    """Base class of target errors; ``execution`` is whether the request ran."""

    execution = Execution.OUTCOME_UNKNOWN


@final
class TargetUnreachableError(TargetError):
    """The request was not sent to the target."""

    execution = Execution.NOT_RUN


@final
class TargetWithdrawnError(TargetError):
    """The request was not sent as its target or its time had gone."""

    execution = Execution.NOT_RUN


@final
class TargetRefusedError(TargetError):
    """The target reported that it did not run the request."""

    execution = Execution.NOT_RUN


class TargetFailedError(TargetError):
    """The target failed or sent a bad response after the request was sent."""


@final
class TargetDisconnectedError(TargetFailedError):
    """The connection closed mid-response; the target may have crashed."""


@final
class TargetAbandonedError(TargetFailedError):
    """The target was given up while it may still run the request."""


@final
class TargetOversizedError(TargetFailedError):
    """The target sent more than a response or an event may have.

    Correct the target, or raise the limit in the node's settings.
    """


@final
class ResponseCutError(TargetError):
    """This node lacked memory for the response; its target is not at fault.

    Try again later, or raise the limit in the node's settings.
    """


@final
class TargetTimeoutError(TargetError):
    """The target did not answer before the request's deadline."""


@final
class PeerUnreachableError(TargetError):
    """The request was not sent to the node that was to pass it on."""

    execution = Execution.NOT_RUN


@final
class PeerUnableError(TargetError):
    """The node that was to pass the request on cannot do so at present."""

    execution = Execution.NOT_RUN


@final
class PeerRefusedError(TargetError):
    """The targets that a node passed the request on to have refused it.

    Others may take it: ``refused_by`` names those targets, and ``retry_after``
    is when one of them may, in seconds.
    """

    execution = Execution.NOT_RUN

    def __init__(
        self,
        message: str,
        refused_by: Sequence[str],
        retry_after: float | None,
    ) -> None:
        """Store which targets have refused."""
        super().__init__(message)
        self.refused_by = refused_by
        self.retry_after = retry_after


@final
class PeerBrokenError(TargetError):
    """The node that passed the request on failed before its answer's end."""


class OrderError(CranecartError):
    """Base class of errors of an order to an engine instance."""


@final
class OrderRefusedError(OrderError):
    """The instance refused the order as invalid in its state."""


@final
class OrderFencedError(OrderError):
    """The instance has seen a newer lease holder; send no more orders."""


@final
class OrderUnknownError(OrderError):
    """No response arrived; the order may be executed, now or later."""


@final
class TargetGoneError(OrderError):
    """The addressed incarnation has terminated and serves no requests."""


@final
class TargetNotListeningError(OrderError):
    """The instance accepts no connections: it crashed or is shutting down.

    An instance that shuts down stops listening before its requests finish,
    so a replica led by it may keep serving for some seconds.
    """


class LeaseLostError(CranecartError):
    """The lease of a duty was lost; work under it must stop."""


class OperatorError(CranecartError):
    """An operator command failed."""


class RequestError(CranecartError):
    """Base class of errors that are returned to clients.

    ``status`` is the HTTP status, ``code`` the machine-readable error code,
    ``retry_after`` the seconds to wait before a retry, or ``None``.
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
        """Store the message and, if given, the retry delay."""
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
    """The organisation exceeded its limit."""

    status = 429
    code = 'over_limit'
    retry_after = 1.0


class OverloadedError(RequestError):
    """The node sheds load of this priority."""

    status = 503
    code = 'overloaded'
    retry_after = 1.0


class NoReplicaError(RequestError):
    """No complete replica currently serves the model."""

    status = 503
    code = 'no_replica'
    retry_after = 2.0


class QuarantinedRequestError(RequestError):
    """The request is quarantined after it crashed several targets.

    The client cannot correct the request, and a request that is quarantined
    wrongly may be served later, so the error carries a retry delay. The delay
    is much longer than it takes to detect a crash.
    """

    status = 503
    code = 'held'
    retry_after = 300.0


class ClaimStoreUnavailableError(RequestError):
    """The store is unavailable for the claim of a non-repeatable request."""

    status = 503
    code = 'platform_unavailable'
    retry_after = 5.0


class NotConfiguredError(RequestError):
    """The node has no configuration yet."""

    status = 503
    code = 'not_configured'
    retry_after = 2.0


class NodeStoppingError(RequestError):
    """The node stops before the request could be finished.

    The client's next try, on a new connection, reaches another node.
    """

    status = 503
    code = 'node_stopping'
    retry_after = 0.1


class ReplicasUnknownError(RequestError):
    """The node has just started and does not know the replicas yet."""

    status = 503
    code = 'not_informed'
    retry_after = 1.0


class DeadlineExceededError(RequestError):
    """The deadline passed before the request was sent to a target."""

    status = 504
    code = 'deadline_exceeded'
    retry_after = 1.0


class AllTargetsRefusedError(RequestError):
    """Every target that was tried refused the request."""

    status = 503
    code = 'not_taken'
    retry_after = 1.0


class TargetsOutOfReachError(RequestError):
    """This node reaches no target, and no node passes the request on."""

    status = 503
    code = 'out_of_reach'
    retry_after = 1.0


class PeerAnsweredError(RequestError):
    """The node that the request was passed on to has given it up."""

    def __init__(
        self,
        message: str,
        *,
        status: int,
        code: str,
        execution: Execution,
        retry_after: float | None,
    ) -> None:
        """Store what that node would have answered its own client."""
        super().__init__(message, retry_after=retry_after)
        self.status = status
        self.code = code
        self.execution = execution


class InternalFaultError(RequestError):
    """An unexpected error occurred in this node before sending."""

    status = 503
    code = 'internal_fault'
    retry_after = 1.0


class OutcomeUnknownError(RequestError):
    """The request was sent, but its outcome is unknown."""

    status = 502
    code = 'outcome_unknown'
    execution = Execution.OUTCOME_UNKNOWN


class RequestTimeoutError(OutcomeUnknownError):
    """The timeout of the request or its route passed while it ran."""

    status = 504
    code = 'timeout_passed'


class ClaimUnreadableError(OutcomeUnknownError):
    """The table is unavailable, so an earlier copy's claim is unreadable."""

    status = 503
    code = 'claim_unreadable'
    retry_after = 5.0
