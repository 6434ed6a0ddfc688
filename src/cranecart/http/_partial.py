"""What becomes of requests that are not read to their end."""

from collections.abc import Awaitable, Callable

import attrs

from cranecart.http._messages import Request, json_response
from cranecart.http._responder import Responder

_STATUS_UNAVAILABLE = 503
_RETRY_AFTER_SECONDS = 1

# Tells by its head whether a request is to be read to its end.
AdmitHead = Callable[[Request], bool]
Handler = Callable[[Request, Responder], Awaitable[None]]


async def _refuse(_request: Request, responder: Responder) -> None:
    await responder.send(
        json_response(
            _STATUS_UNAVAILABLE,
            {'error': {'code': 'overloaded', 'execution': 'not run'}},
            {'retry-after': str(_RETRY_AFTER_SECONDS)},
        )
    )


def _admit(_head: Request) -> bool:
    """Read every request to its end."""
    return True


@attrs.frozen
class PartialRequests:
    """Answers requests whose bodies are not read.

    ``refuse`` answers those for which there is no memory, and large ones whose
    heads ``admits`` rejects.
    """

    refuse: Handler = _refuse
    admits: AdmitHead = _admit
