"""The interface between a placer and the rest of its node."""

from collections.abc import Awaitable, Callable, Mapping

import attrs

from cranecart.fleet import ReplicaRecord
from cranecart.models import RouteConfig
from cranecart.ports import Incarnation, ListedInstance


def never_cold(_incarnation: Incarnation) -> float:
    """Return how long an instance stays cold where none is."""
    return 0


def reach_all() -> bool:
    """Return whether instances are reached where all are."""
    return True


async def check_nothing(_instance: ListedInstance) -> None:
    """Check no path where none can be lost."""


@attrs.frozen
class PlacerEnvironment:
    """Callbacks through which a placer reads and informs its node.

    ``is_held_elsewhere`` returns whether another node claims the placement
    lease, ``is_synced`` whether the instance list and the records have been
    read, ``has_traffic`` whether requests have arrived, so that loads have to
    be limited, and ``demand`` the demand for each model in replicas.
    ``is_isolated`` returns whether this node has peers but receives nothing
    from them, ``is_store_unreachable`` whether its readers cannot reach the
    store. ``announce_stopped`` announces to all nodes that a replica accepts no
    more requests, why, and whether it completes the running ones.
    ``cold_seconds`` returns how long an instance stays cold.
    ``reaches_targets`` returns whether this node reaches any of the instances
    that it would place replicas on, and ``check_path`` finds that out again.
    """

    config: Callable[[], RouteConfig | None]
    is_held_elsewhere: Callable[[], bool]
    is_synced: Callable[[], bool]
    has_traffic: Callable[[], bool]
    demand: Callable[[], Mapping[str, float]]
    announce_stopped: Callable[[ReplicaRecord, str, bool], None]
    is_isolated: Callable[[], bool] = bool
    is_store_unreachable: Callable[[], bool] = bool
    cold_seconds: Callable[[Incarnation], float] = never_cold
    reaches_targets: Callable[[], bool] = reach_all
    check_path: Callable[[ListedInstance], Awaitable[object]] = check_nothing


@attrs.frozen
class PlacerScope:
    """The failure domain of a placer, and settings that depend on it.

    ``failure_domains`` is the number of failure domains. ``stall_seconds`` is
    how long a head that has lost a member stalls before it is broken.
    """

    failure_domain: str
    failure_domains: int
    stall_seconds: float
