"""Tell whose fault it is that a response could not be read."""

from cranecart.exceptions import (
    HttpError,
    MessageTooLargeError,
    ReceiveMemoryError,
    ResponseCutError,
    TargetDisconnectedError,
    TargetError,
    TargetOversizedError,
)


def error_of_response(error: HttpError) -> TargetError:
    """Return the error of an attempt that ended with an HTTP error."""
    match error:
        case MessageTooLargeError():
            return TargetOversizedError(str(error))
        case ReceiveMemoryError():
            return ResponseCutError(str(error))
        case _:
            return TargetDisconnectedError(str(error))
