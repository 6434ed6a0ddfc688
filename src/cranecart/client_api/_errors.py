"""The error responses that clients get."""

import math

import attrs

from cranecart.exceptions import (
    AllTargetsRefusedError,
    Execution,
    OutcomeUnknownError,
    RequestError,
    TargetError,
    TargetTimeoutError,
)
from cranecart.http import Response, json_response


@attrs.frozen
class ErrorBody:
    """The body of an error response.

    ``execution`` says whether the call ran, ``retry_after_seconds`` when to
    retry.
    """

    code: str
    message: str
    execution: str
    retry_after_seconds: float | None
    request_id: str

    @classmethod
    def from_error(cls, error: RequestError, request_id: str) -> 'ErrorBody':
        """Build the body for an error."""
        return cls(
            error.code,
            str(error),
            error.execution.value,
            error.retry_after,
            request_id,
        )


def error_response(error: RequestError, request_id: str) -> Response:
    """Build the response for an error, with Retry-After if it is known."""
    headers = {'x-request-id': request_id}
    if error.retry_after is not None:
        headers['retry-after'] = str(math.ceil(error.retry_after))
    body = {'error': ErrorBody.from_error(error, request_id)}
    return json_response(error.status, body, headers)


def client_error_from(error: TargetError) -> RequestError:
    """Convert a target's error to the error that the client gets."""
    if error.execution is Execution.NOT_RUN:
        return AllTargetsRefusedError(str(error))
    if isinstance(error, TargetTimeoutError):
        return OutcomeUnknownError(f'no response before the deadline: {error}')
    return OutcomeUnknownError(str(error))
