"""Make the larger parts of a node from its settings."""

from collections.abc import Callable

from cranecart.fleet import Fleet, mark_leaving
from cranecart.http import Address, ServerLimits
from cranecart.mesh import (
    Leaving,
    LocalState,
    Mesh,
    MeshCallbacks,
    MeshMessage,
    TargetLimits,
    decode_mesh_message,
    encode_mesh_message,
    sharing_node_count,
)
from cranecart.models import ClientLimits
from cranecart.ports import Incarnation
from cranecart.retries import RetryLimits
from cranecart.settings import ServingSettings
from cranecart.throttling import TargetThrottle
from cranecart.transport import PeerTransport

# What machines keep back for files, and what clients get of the rest: each
# request under way has a connection to a target, and some are kept there.
_FILE_DESCRIPTORS = 200
_CLIENTS_PART = 0.6
_FEWEST_CONNECTIONS = 16


def make_mesh(settings: ServingSettings, events: MeshCallbacks) -> Mesh:
    """Bind the address for other nodes."""
    link: PeerTransport[MeshMessage] = PeerTransport(
        Address.from_text(settings.peer_address),
        encode_mesh_message,
        decode_mesh_message,
    )
    own = LocalState(
        settings.node_id,
        settings.peer_address,
        settings.failure_domain,
    )
    return Mesh(own, link, events)


def server_limits(
    settings: ServingSettings,
    limits: ClientLimits,
) -> ServerLimits:
    """Return what clients may make the node hold.

    Connections to targets, to the store and to other nodes need descriptors
    too, and without any the node answers neither clients nor its balancer.
    """
    free = settings.max_descriptors - _FILE_DESCRIPTORS
    return ServerLimits(
        head_bytes=limits.head_bytes,
        body_bytes=limits.body_bytes,
        receive_seconds=limits.receive_seconds,
        idle_seconds=limits.idle_seconds,
        connections=max(_FEWEST_CONNECTIONS, int(free * _CLIENTS_PART)),
    )


def retry_limits(settings: ServingSettings) -> RetryLimits:
    """Return how much may be sent again."""
    return RetryLimits(
        settings.retry_ratio,
        settings.retry_slack,
        settings.retry_window_seconds,
    )


def make_throttle(
    node_id: str,
    fleet: Fleet,
    read_mesh: Callable[[], Mesh],
) -> TargetThrottle:
    """Return what keeps to the words of targets, shared with other nodes."""

    def leave(incarnation: Incarnation) -> None:  # noqa: WPS430
        if mark_leaving(fleet, incarnation, 'an answer'):
            read_mesh().publish(
                Leaving(node_id, incarnation.id, incarnation.born)
            )

    return TargetThrottle(
        lambda domain, name, most: sharing_node_count(
            read_mesh().state,
            domain,
            name,
            most,
        ),
        fleet.find_instance,
        lambda told: read_mesh().publish(TargetLimits(node_id, list(told))),
        leave,
        fleet.instance_list.is_leaving,
    )
