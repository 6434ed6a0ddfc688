"""An admitted client request and the data that decides how it is routed."""

import functools
from collections.abc import Collection

import attrs

from cranecart.clocks import since_boot
from cranecart.http import Request
from cranecart.load_shedding import request_token
from cranecart.logs import RequestTrace
from cranecart.models import Route, RouteConfig
from cranecart.ports import RequestInfo
from cranecart.quarantine import request_identity
from cranecart.routing import RoutingRequest

# Without a deadline from the client, only the route's timeout applies.
_NO_DEADLINE = float('inf')


@attrs.frozen
class RoutedCall:
    """An admitted request.

    ``rank`` is the priority, lower first. ``started_at`` and ``ends_at`` are
    times of ``since_boot``. ``retrying_for_seconds`` is how long the client had
    already been retrying when this request arrived, zero for a first try.
    """

    request: Request
    facts: RequestInfo
    config: RouteConfig
    route: Route
    service: str
    organisation: str
    rank: int
    started_at: float
    ends_at: float
    trace: RequestTrace
    retrying_for_seconds: float = 0

    @property
    def request_id(self) -> str:
        """Return the request id that the client sent."""
        return self.facts.request_id

    @functools.cached_property
    def identity(self) -> str:
        """Return a digest that is the same for all retries of this request."""
        request = self.request
        return request_identity(
            self.organisation,
            self.facts.host,
            request.method,
            request.target,
            request.body,
        )

    @property
    def seconds_left(self) -> float:
        """Return the time left until the client's or the route's deadline."""
        return self.ends_at - since_boot()

    @property
    def elapsed_seconds(self) -> float:
        """Return the time since the client's attempt arrived."""
        return since_boot() - self.started_at

    @property
    def may_repeat(self) -> bool:
        """Return whether the request may run more than once."""
        return self.route.is_idempotent

    def identify(self) -> str:
        """Return the identity, which is computed on the first call."""
        return self.identity


def routing_request(
    call: RoutedCall,
    tried: Collection[str],
    passed_over: Collection[str] = (),
    *,
    has_begun: bool,
) -> RoutingRequest:
    """Return the router's input for a call at this moment."""
    return RoutingRequest(
        call.config,
        call.route,
        call.service,
        call.facts.model,
        call.facts.prompt_tokens,
        call.seconds_left,
        call.retrying_for_seconds + call.elapsed_seconds,
        bool(call.retrying_for_seconds),
        has_begun,
        tried,
        passed_over,
        call.rank,
        call.organisation,
        request_token(call.request_id),
    )


def expiry_of(route: Route, facts: RequestInfo, now: float) -> float:
    """Return when a request expires, as a time of ``since_boot``."""
    deadline = facts.deadline_seconds
    client_seconds = _NO_DEADLINE if deadline is None else deadline
    return now + min(client_seconds, route.timeout_seconds)
