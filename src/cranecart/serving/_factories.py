"""Build the components of a node from its settings."""

from collections.abc import Callable

import attrs

from cranecart.fleet import Fleet, mark_leaving
from cranecart.forwarding import ResumeGuard, TargetConnectionPool
from cranecart.http import (
    TARGET_RECEIVE_BYTES,
    Address,
    ResponseLimits,
    ResponseMemory,
    ServerLimits,
)
from cranecart.mesh import (
    Leaving,
    LocalState,
    Mesh,
    MeshCallbacks,
    MeshMessage,
    TargetLimits,
    dealt_requests,
    decode_mesh_message,
    encode_mesh_message,
    sharing_node_count,
)
from cranecart.models import ClientLimits, ColdStart
from cranecart.peer_calls import PeerChoice
from cranecart.platform import has_evacuations, has_slow_readers
from cranecart.ports import Incarnation
from cranecart.reachability import TargetDialer, TargetPaths
from cranecart.retries import RetryLimits, SharedRetryBudget
from cranecart.serving._active_config import ActiveRouteConfig
from cranecart.serving._connection_gate import ConnectionGate
from cranecart.serving._connection_limit import max_connections
from cranecart.settings import ServingSettings
from cranecart.throttling import (
    ColdEntries,
    ColdRule,
    ColdSharing,
    TargetThrottle,
)
from cranecart.transport import PeerTransport

# Fraction of a node's memory that may be held for clients that do not read. The
# state of a large deployment takes up to 128 MB of the smallest nodes' 152 MB.
_UNREAD_FRACTION = 0.125
_MEGABYTE = 1_000_000
# Upper bounds for requests that other nodes pass on: what is said about one
# besides the client's request, and the connections for them.
_MAX_PASSED_ON_BYTES = 16384
_MAX_PEER_CONNECTIONS = 256
_PEER_IDLE_SECONDS = 10.0


def make_mesh(settings: ServingSettings, callbacks: MeshCallbacks) -> Mesh:
    """Bind the peer address and return the mesh."""
    transport: PeerTransport[MeshMessage] = PeerTransport(
        Address.from_text(settings.peer_address),
        encode_mesh_message,
        decode_mesh_message,
    )
    local_state = LocalState(
        settings.node_id,
        settings.peer_address,
        settings.failure_domain,
        settings.link_mbps,
        is_established=False,
    )
    return Mesh(local_state, transport, callbacks)


def make_connection_gate(mesh: Mesh, peers: PeerChoice) -> ConnectionGate:
    """Return the gate for clients' connections."""
    return ConnectionGate(mesh.running_clock, peers.has_live_peers)


def server_limits(
    settings: ServingSettings,
    limits: ClientLimits,
) -> ServerLimits:
    """Return the limits on clients' connections and requests."""
    return ServerLimits(
        head_bytes=limits.head_bytes,
        body_bytes=limits.body_bytes,
        receive_seconds=limits.receive_seconds,
        idle_seconds=limits.idle_seconds,
        connections=max_connections(settings, limits.head_bytes),
        unread_bytes=_unread_bytes(settings),
    )


def peer_server_limits(
    settings: ServingSettings, limits: ClientLimits
) -> ServerLimits:
    """Return the limits on the requests that other nodes pass on.

    Each has a client's request and what has become of it so far.
    """
    return attrs.evolve(
        server_limits(settings, limits),
        body_bytes=limits.head_bytes + limits.body_bytes + _MAX_PASSED_ON_BYTES,
        idle_seconds=_PEER_IDLE_SECONDS,
        connections=_MAX_PEER_CONNECTIONS,
    )


def make_resume_guard(settings: ServingSettings) -> ResumeGuard:
    """Return the guard against sending by what was known before a freeze."""
    return ResumeGuard(has_evacuations(settings.platform_features))


def make_target_connections(
    settings: ServingSettings, dialer: TargetDialer
) -> TargetConnectionPool:
    """Return the pool of connections to targets.

    What they receive while a client does not read counts against the memory.
    """
    limits = ResponseLimits.from_megabytes(
        event=settings.max_event_mb,
        body=settings.max_body_mb,
        total=settings.max_responses_mb,
    )
    return TargetConnectionPool(
        receive_bytes=(
            None if _unread_bytes(settings) is None else TARGET_RECEIVE_BYTES
        ),
        dialer=dialer,
        memory=ResponseMemory(limits),
    )


def make_dialer(fleet: Fleet, get_mesh: Callable[[], Mesh]) -> TargetDialer:
    """Return what opens connections to targets and knows which are reached."""
    return TargetDialer(
        TargetPaths(
            lambda: fleet.instances.values(),
            lambda name: get_mesh().in_flight_elsewhere(name),
        )
    )


def _unread_bytes(settings: ServingSettings) -> float | None:
    """Return the bound on memory for unread responses, if there is one."""
    if settings.memory_mb and has_slow_readers(settings.platform_features):
        return settings.memory_mb * _MEGABYTE * _UNREAD_FRACTION
    return None


def retry_limits(settings: ServingSettings) -> RetryLimits:
    """Return the limits on retries."""
    return RetryLimits(
        settings.retry_ratio,
        settings.retry_slack,
        settings.retry_window_seconds,
    )


def make_retry_budget(
    settings: ServingSettings,
    get_mesh: Callable[[], Mesh],
    is_informed: Callable[[], bool],
    registered_at: Callable[[], float],
) -> SharedRetryBudget:
    """Return this node's part of the retry budget."""
    return SharedRetryBudget(
        retry_limits(settings),
        lambda: _count_nodes(get_mesh()) if is_informed() else 0,
        registered_at=registered_at,
        borrow=lambda service, amount, now: (
            get_mesh().message_sender.request_retries(service, amount, now)
        ),
    )


def _count_nodes(mesh: Mesh) -> int:
    """Return how many nodes may exist: silent ones may be cut off and go on."""
    return 1 + len(mesh.state.roster.peers)


def make_throttle(
    settings: ServingSettings,
    fleet: Fleet,
    get_mesh: Callable[[], Mesh],
    find_cold_start: Callable[[str], ColdStart | None],
) -> TargetThrottle:
    """Build the throttle that shares targets' limits with other nodes."""
    node_id = settings.node_id

    def report_leaving(incarnation: Incarnation) -> None:  # noqa: WPS430
        if mark_leaving(fleet, incarnation, 'an answer'):
            get_mesh().publish(
                Leaving(node_id, incarnation.id, incarnation.born)
            )

    return TargetThrottle(
        lambda domain, name, max_nodes: sharing_node_count(
            get_mesh().state,
            domain,
            name,
            max_nodes,
        ),
        fleet.find_instance,
        lambda updates: get_mesh().publish(
            TargetLimits(node_id, list(updates))
        ),
        report_leaving,
        fleet.instance_list.is_leaving,
        cold_sharing=ColdSharing(
            find_cold_start,
            lambda domain, name, total: dealt_requests(
                get_mesh().state, domain, name, total
            ),
            lambda updates: get_mesh().publish(
                TargetLimits(node_id, [], list(updates))
            ),
            _cold_rule(settings),
        ),
    )


def make_cold_entries(
    throttle: TargetThrottle, config: ActiveRouteConfig, mesh: Mesh
) -> ColdEntries:
    """Build what finds cold targets in the instance list."""
    entries = ColdEntries(throttle, config.cold_start, mesh.has_traffic)
    config.subscribe(lambda _config: entries.apply_config())
    return entries


def _cold_rule(settings: ServingSettings) -> ColdRule:
    """Return the rule for the platform's bound, or for the usual one."""
    if settings.cold_overshoot:
        return ColdRule(settings.cold_overshoot, settings.cold_slack)
    return ColdRule()
