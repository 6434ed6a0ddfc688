"""Make the larger parts of a node from its settings."""

from cranecart.config import ServingSettings
from cranecart.duties import Lease, LeaseTimes
from cranecart.fleet import lease_duty
from cranecart.grouping import PlacerPlace
from cranecart.http import Address, ServerLimits
from cranecart.limits import RetryRules
from cranecart.mesh import (
    Mesh,
    MeshEvents,
    MeshMessage,
    OwnState,
    decode_mesh_message,
    encode_mesh_message,
)
from cranecart.models import ClientLimits
from cranecart.nodes import NodeLink
from cranecart.ports import Table

_MILLISECONDS = 1000
# The holder renews every 2 s, as each renewal costs a call, and every second
# while it hears nobody; others look only once its beats are silent. A holder
# that stalls loses the duty's rows by their versions, so that a takeover needs
# no longer wait than a renewal (docs/design/platform.md), but by who may be the
# one that is cut off: two such took the duty from each other by turns.
_TRUSTED_SECONDS = 5.0
_TAKEOVER_SECONDS = 1.2
_PATIENT_SECONDS = 3.5
# What machines keep back for files, and what clients get of the rest: each
# request under way has a connection to a target, and some are kept there.
_FILE_DESCRIPTORS = 200
_CLIENTS_PART = 0.6
_FEWEST_CONNECTIONS = 16


def make_mesh(settings: ServingSettings, events: MeshEvents) -> Mesh:
    """Bind the address for other nodes."""
    link: NodeLink[MeshMessage] = NodeLink(
        Address.from_text(settings.peer_address),
        encode_mesh_message,
        decode_mesh_message,
    )
    own = OwnState(
        settings.node_id,
        settings.peer_address,
        settings.failure_domain,
    )
    return Mesh(own, link, events)


def make_lease(settings: ServingSettings, table: Table) -> Lease:
    """Return this node's view of its failure domain's placement duty."""
    return Lease(
        lease_duty(settings.failure_domain),
        settings.node_id,
        table,
        LeaseTimes(_TRUSTED_SECONDS, _TAKEOVER_SECONDS, _PATIENT_SECONDS),
    )


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


def placer_place(settings: ServingSettings) -> PlacerPlace:
    """Return where a node's placer acts."""
    return PlacerPlace(
        settings.failure_domain,
        len(settings.all_failure_domains),
        settings.stall_ms / _MILLISECONDS,
    )


def retry_rules(settings: ServingSettings) -> RetryRules:
    """Return how much may be sent again."""
    return RetryRules(
        settings.retry_ratio,
        settings.retry_slack,
        settings.retry_window_seconds,
    )
