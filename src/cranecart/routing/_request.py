"""What the router needs to know about a request."""

from collections.abc import Collection

import attrs

from cranecart.models import EngineProfile, Route, RouteConfig


@attrs.frozen
class RoutingRequest:
    """One request that needs a target; times in seconds.

    ``elapsed_seconds`` is the time since the client's first attempt,
    ``was_refused`` is whether that was refused, and ``is_resumed`` marks a
    stream that continues after its replica failed. ``tried`` targets are
    excluded; those that are ``avoided`` are used only if there are no others.
    Smaller ranks are more urgent. ``token`` decides whether the request is
    among those of its organisation that a model that is short admits. It
    ``tries_unreached`` targets if no other node can send it.
    """

    config: RouteConfig
    route: Route
    service: str
    model: str
    prompt_tokens: int
    remaining_seconds: float
    elapsed_seconds: float = 0
    was_refused: bool = False
    is_resumed: bool = False
    tried: Collection[str] = ()
    avoided: Collection[str] = ()
    rank: int = 0
    organisation: str = ''
    token: float = 0
    tries_unreached: bool = False

    @property
    def engine(self) -> EngineProfile | None:
        """Return the service's engine profile, None for a plain service."""
        return self.config.engine(self.service)
