"""What the door believes of a request and of the replicas it could go to."""

import attrs

from cranecart.models import EngineModel, EngineProfile, Route

# Clients leave a stream that is silent for the longest of these, by the
# users' protocol: seconds, objectives, and allowed pauses.
_PATIENCE_SECONDS = 2.0
_PATIENCE_OBJECTIVES = 4.0
_PATIENCE_PAUSES = 8.0


@attrs.frozen
class ReplicaState:
    """One replica as it is believed to stand now.

    ``in_flight`` counts the requests there, of all nodes, ``behind`` those
    that wait there behind all others, as far as this node knows them.
    ``error_seconds`` is how much later than forecast its first events came.
    ``is_near`` tells whether it is in the node's failure domain.
    """

    name: str
    in_flight: int
    deferred: int = 0
    error_seconds: float = 0
    is_local: bool = True


@attrs.frozen
class DispatchRequest:
    """One request; times in seconds.

    ``elapsed_seconds`` is how long ago its client first asked, as far as that
    shows, and ``has_returned`` that it was refused before. ``has_begun`` tells
    of a stream that goes on elsewhere. ``run_seconds`` is the part of a full
    engine's time that a request of the model takes on average.
    """

    route: Route
    engine: EngineProfile
    model: EngineModel
    prompt_tokens: int
    elapsed_seconds: float
    remaining_seconds: float
    completion_interval: float
    was_refused: bool = False
    is_resumed: bool = False

    @property
    def objective_seconds(self) -> float:
        """Return what is left of the objective."""
        return self.route.objective_seconds - self.elapsed_seconds

    @property
    def max_wait_seconds(self) -> float:
        """Return how long the client waits for a first event."""
        patience = max(
            _PATIENCE_SECONDS,
            _PATIENCE_OBJECTIVES * self.route.objective_seconds,
            _PATIENCE_PAUSES * self.route.pause_seconds,
        )
        return min(patience, self.remaining_seconds)
