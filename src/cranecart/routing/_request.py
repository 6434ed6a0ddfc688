"""What the router needs to know of a request."""

from collections.abc import Collection

import attrs

from cranecart.models import EngineProfile, Route, RouteConfig


@attrs.frozen
class RoutingRequest:
    """One request that looks for a target; times in seconds.

    ``elapsed_seconds`` is how long ago its client first asked; it
    ``has_returned`` if it was refused before, and ``has_begun`` if it is a
    stream that goes on elsewhere. ``tried`` targets are left out, those that are
    ``passed_over`` as long as there are others. Smaller ranks are more urgent.
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

    @property
    def engine(self) -> EngineProfile | None:
        """Return what is declared of the service's engines, if it has any."""
        return self.config.engine(self.service)
