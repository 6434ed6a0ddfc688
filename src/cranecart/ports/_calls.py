"""The form of calls: what the product reads from and writes into them."""

from typing import Protocol

import attrs

from cranecart.http import HeaderLines, Request, Response, ResponseHead


@attrs.frozen
class RequestInfo:
    """What a client's request says about itself.

    ``deadline_seconds`` is how long the client waits, ``resume_after`` the
    id of the last event that it has of an earlier answer.
    """

    request_id: str
    host: str
    key: str
    deadline_seconds: float | None
    model: str = ''
    prompt_tokens: int = 0
    max_tokens: int = 0
    resume_after: str = ''


@attrs.frozen
class Dispatch:
    """What the product adds when it sends a request to a target."""

    instance_id: str
    seconds_left: float
    organisation: str = ''
    rank: int | None = None
    resume_after: str = ''


@attrs.frozen
class ResponseInfo:
    """What a target's answer says about itself.

    ``not_run`` holds only where the target itself promises it;
    ``at_fault`` names the instance that it could not work without.
    ``limit`` is how many requests a second it takes from all nodes together,
    ``rest_seconds`` for how long it wants none of this node, and ``is_leaving``
    tells that it ends soon and wants none any more. ``unreadable`` holds what it says of itself that cannot be understood.
    """

    request_id: str
    is_genuine: bool
    not_run: bool
    failed_instance: str = ''
    limit: float | None = None
    backoff_seconds: float | None = None
    is_leaving: bool = False
    unreadable: tuple[str, ...] = ()


class CallTranslator(Protocol):
    """Translates calls between clients, the product and targets."""

    def read_request(self, request: Request) -> RequestInfo:
        """Read a client's request; raise ``InvalidRequestError``."""

    def request_for(self, request: Request, dispatch: Dispatch) -> Request:
        """Return the request as a target gets it."""

    def read_response(self, head: ResponseHead) -> ResponseInfo:
        """Read the head of a target's answer."""

    def response_headers(self, head: ResponseHead) -> HeaderLines:
        """Return the headers of a target's answer that a client gets."""

    def error_response(
        self,
        request_id: str,
        status: int,
        code: str,
        message: str,
        retry_after: float | None,
    ) -> Response:
        """Build an answer of the product's own."""
