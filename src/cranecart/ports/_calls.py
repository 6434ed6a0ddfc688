"""Interface for translating requests and responses."""

from typing import Protocol

import attrs

from cranecart.http import HeaderLines, Request, Response, ResponseHead


@attrs.frozen
class RequestInfo:
    """Metadata of a client's request.

    ``deadline_seconds`` is how long the client waits, ``resume_after`` the
    id of the last event that it received of an earlier response.
    ``shared_segments`` identify the parts of the prompt that other requests
    have as well, in order.
    """

    request_id: str
    host: str
    key: str
    deadline_seconds: float | None
    model: str = ''
    prompt_tokens: int = 0
    max_tokens: int = 0
    resume_after: str = ''
    shared_segments: tuple[str, ...] = ()


@attrs.frozen
class Dispatch:
    """What a node adds to a request that it sends to a target."""

    instance_id: str
    seconds_left: float
    organisation: str = ''
    rank: int | None = None
    resume_after: str = ''


@attrs.frozen
class ResponseInfo:
    """Metadata of a target's response.

    ``not_run`` is true only if the target itself reports it;
    ``failed_instance`` names the instance without which it could not work.
    ``limit`` is how many requests per second it accepts from all nodes
    together, ``backoff_seconds`` how long this node should send none, and
    ``is_leaving`` whether it is shutting down. ``unreadable`` contains those of
    these values that could not be parsed. ``cold_seconds`` is how long it stays
    cold.
    """

    request_id: str
    is_genuine: bool
    not_run: bool
    failed_instance: str = ''
    limit: float | None = None
    backoff_seconds: float | None = None
    is_leaving: bool = False
    unreadable: tuple[str, ...] = ()
    cold_seconds: float | None = None


class CallTranslator(Protocol):
    """Translates calls between clients, nodes and targets."""

    def read_request(self, request: Request) -> RequestInfo:
        """Parse a request; raise ``InvalidRequestError`` if it is malformed."""

    def request_for(self, request: Request, dispatch: Dispatch) -> Request:
        """Return the request in the form that targets expect."""

    def read_response(self, head: ResponseHead) -> ResponseInfo:
        """Parse the head of a target's response."""

    def response_headers(self, head: ResponseHead) -> HeaderLines:
        """Return the headers of a target's response to pass to the client."""

    def error_response(
        self,
        request_id: str,
        status: int,
        code: str,
        message: str,
        retry_after: float | None,
    ) -> Response:
        """Build an error response of the node itself."""
