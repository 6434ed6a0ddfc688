"""One client's request on its way, with all that decides about it."""

import functools
from collections.abc import Collection

import attrs

from cranecart.clocks import since_boot
from cranecart.http import Request
from cranecart.logs import RequestTrace
from cranecart.models import Route, RouteConfig
from cranecart.ports import CallFacts
from cranecart.quarantine import request_identity
from cranecart.routing import RoutingRequest

# A client that names no deadline waits as long as its route allows.
_NO_DEADLINE = float('inf')


@attrs.frozen
class RoutedCall:
    """A checked request; ``ends_at`` is a time of ``since_boot``.

    ``returned_seconds`` is how long before it came its client first asked,
    zero if it was not refused before.
    """

    request: Request
    facts: CallFacts
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
        """Return the client's id of the request."""
        return self.facts.request_id

    @functools.cached_property
    def identity(self) -> str:
        """Return what all tries of its client at this request share."""
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
        """Return how long the client and the route still allow."""
        return self.ends_at - since_boot()

    @property
    def may_repeat(self) -> bool:
        """Tell whether the request may run more than once."""
        return self.route.is_idempotent


def routing_criteria(
    call: RoutedCall,
    tried: Collection[str],
    passed_over: Collection[str] = (),
    *,
    has_begun: bool,
) -> RoutingRequest:
    """Return what the router needs to know of a call now."""
    elapsed = since_boot() - call.started_at
    return RoutingRequest(
        call.config,
        call.route,
        call.service,
        call.facts.model,
        call.facts.prompt_tokens,
        call.seconds_left,
        call.retrying_for_seconds + elapsed,
        bool(call.retrying_for_seconds),
        has_begun,
        tried,
        passed_over,
        call.rank,
    )


def expiry_of(route: Route, facts: CallFacts, now: float) -> float:
    """Return when a request is given up, as a time of ``since_boot``."""
    deadline = facts.deadline_seconds
    client_seconds = _NO_DEADLINE if deadline is None else deadline
    return now + min(client_seconds, route.timeout_seconds)
