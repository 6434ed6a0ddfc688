"""Determine a request's route, organisation and service, or reject it."""

import random

from cranecart.exceptions import (
    NotConfiguredError,
    NotFoundError,
    UnauthorizedError,
)
from cranecart.forwarding._call import RoutedCall, expiry_of
from cranecart.http import Request
from cranecart.logs import RequestTrace
from cranecart.models import KeyHolder, Route, RouteConfig
from cranecart.ports import RequestInfo

_STARTUP_RETRY_AFTER_SECONDS = 0.5


def admit(
    request: Request,
    facts: RequestInfo,
    config: RouteConfig | None,
    random_source: random.Random,
    trace: RequestTrace,
    now: float,
) -> RoutedCall:
    """Match a request received at ``now`` against the configuration.

    Raise ``NotConfiguredError``, ``NotFoundError`` or ``UnauthorizedError``.
    """
    if config is None:
        raise NotConfiguredError(
            'this node has not received a configuration yet',
            retry_after=_STARTUP_RETRY_AFTER_SECONDS,
        )
    route, holder = match_route(request, facts, config)
    rank = route.rank
    if holder is not None and holder.rank is not None:
        rank = holder.rank
    return RoutedCall(
        request,
        facts,
        config,
        route,
        _pick_service(route, random_source),
        '' if holder is None else holder.name,
        rank,
        now,
        expiry_of(route, facts, now),
        trace,
    )


def match_route(
    request: Request, facts: RequestInfo, config: RouteConfig
) -> tuple[Route, KeyHolder | None]:
    """Return the route of a request and who holds its key, if it has one.

    Raise ``NotFoundError`` or ``UnauthorizedError``.
    """
    route = find_route(request, facts, config)
    if route is None:
        raise NotFoundError(f'no route matches {request.target!r}')
    return route, _find_key_holder(config, route, facts)


def find_route(
    request: Request, facts: RequestInfo, config: RouteConfig
) -> Route | None:
    """Return the route of a request, if any."""
    return config.route(facts.host, request.path)


def _find_key_holder(
    config: RouteConfig,
    route: Route,
    facts: RequestInfo,
) -> KeyHolder | None:
    if config.holders is None:
        return None
    holder = config.holder(facts.key) if facts.key else None
    if holder is None and not route.public:
        raise UnauthorizedError('unknown API key')
    return holder


def _pick_service(route: Route, random_source: random.Random) -> str:
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    if not any(weights):
        weights = [1 for _share in route.shares]
    return random_source.choices(route.shares, weights)[0].service
