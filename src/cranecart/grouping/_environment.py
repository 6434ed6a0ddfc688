"""What a placer is told by the rest of its node, and where it is."""

from collections.abc import Callable, Mapping

import attrs

from cranecart.fleet import ReplicaRecord
from cranecart.models import RouteConfig


@attrs.frozen
class PlacerEnvironment:
    """What a placer needs to know from the rest of its node.

    ``hears_other`` tells whether another node says that it holds the duty,
    ``is_informed`` whether list and records were read, ``has_traffic``
    whether loads count, and ``demand`` weighs the models' requests.
    ``is_isolated`` tells whether this node hears none of those beside it, and
    ``is_cut`` whether its readers do not reach the store.
    ``tell_stopped`` tells all nodes of a replica that takes nothing more,
    why, and whether it finishes what it has.
    """

    config: Callable[[], RouteConfig | None]
    is_held_elsewhere: Callable[[], bool]
    is_synced: Callable[[], bool]
    has_traffic: Callable[[], bool]
    demand: Callable[[], Mapping[str, float]]
    announce_stopped: Callable[[ReplicaRecord, str, bool], None]
    is_isolated: Callable[[], bool] = bool
    is_store_unreachable: Callable[[], bool] = bool


@attrs.frozen
class PlacerScope:
    """The failure domain of a placer among how many, and its engines' stall.

    ``stall_seconds`` is how long a head without a member stands still
    before it is broken.
    """

    failure_domain: str
    failure_domains: int
    stall_seconds: float
