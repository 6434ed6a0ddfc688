"""Inputs of the dispatch decision: a request and its candidate replicas."""

import enum

import attrs

from cranecart.models import EngineModel, EngineProfile, Route

# By the platform's protocol, a client abandons a stream after a silence of the
# longest of these: a number of seconds, multiples of the latency objective,
# and multiples of the longest pause that the route allows.
_MIN_WAIT_SECONDS = 2.0
_WAIT_OBJECTIVES = 4.0
_WAIT_PAUSES = 8.0


class Admission(enum.Enum):
    """What the admission plan of a model that is short says of a request."""

    # The model is not short.
    UNPLANNED = 'unplanned'
    ADMITTED = 'admitted'
    # Beyond the share of its rank or organisation: served only by a slot that
    # nobody else waits for.
    BEYOND_SHARE = 'beyond share'


@attrs.frozen
class ReplicaState:
    """The estimated state of one replica.

    ``in_flight`` counts the requests of all nodes at the replica, ``deferred``
    those that this node has queued there behind all others. ``error_seconds``
    is by how much recent first events were later than forecast. ``is_local``
    is whether the replica is in the node's failure domain. ``pace`` is the
    factor by which the replica is slower than declared.
    """

    name: str
    in_flight: int
    deferred: int = 0
    error_seconds: float = 0
    is_local: bool = True
    pace: float = 1


@attrs.frozen
class DispatchRequest:
    """One request to decide about; times in seconds.

    ``elapsed_seconds`` is the estimated time since the client's first attempt,
    and ``was_refused`` is whether that attempt was refused. ``is_resumed``
    marks a stream that continues after another replica failed.
    ``completion_interval`` is the mean time between completed requests of the
    model at a fully occupied replica. ``passed_fraction`` is the expected part
    of the waiting requests that have a less urgent rank.
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
    admission: Admission = Admission.UNPLANNED
    passed_fraction: float = 0

    @property
    def objective_seconds(self) -> float:
        """Return what is left of the latency objective."""
        return self.route.objective_seconds - self.elapsed_seconds

    @property
    def was_asked_back(self) -> bool:
        """Return whether a plan told the client when it will be served.

        A plan asks back few of the clients it refuses, so that these can be
        served before requests that are late as well.
        """
        return self.was_refused and self.admission is Admission.ADMITTED

    @property
    def max_wait_seconds(self) -> float:
        """Return how long the client waits for the first event."""
        longest_wait = max(
            _MIN_WAIT_SECONDS,
            _WAIT_OBJECTIVES * self.route.objective_seconds,
            _WAIT_PAUSES * self.route.pause_seconds,
        )
        return min(longest_wait, self.remaining_seconds)
