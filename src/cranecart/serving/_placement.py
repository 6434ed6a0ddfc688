"""Build this node's placer. Importing this module loads the placement code."""

from cranecart.clocks import since_boot
from cranecart.fleet import placement_duty
from cranecart.grouping import GroupPlacer, PlacerEnvironment, PlacerScope
from cranecart.leases import Lease, LeaseTimeouts
from cranecart.ports import Table
from cranecart.serving._placer_host import PlacerDependencies
from cranecart.settings import ServingSettings

_MILLISECONDS = 1000
# The holder renews every 2 s, as each renewal costs a call, and every second
# while it receives no heartbeats; others read the lease only once the holder's
# heartbeats have stopped. A stalled holder cannot overwrite the rows of its
# successor, as writes are conditional on their versions, so a takeover waits no
# longer than a renewal takes (docs/design/platform.md). A node that may itself
# be isolated waits longer: two such nodes took the duty from each other in turn.
_VALID_SECONDS = 5.0
_TAKEOVER_SECONDS = 1.2
_ISOLATED_TAKEOVER_SECONDS = 3.5


def make_placer(dependencies: PlacerDependencies) -> GroupPlacer:
    """Build the placer for the node's failure domain; nothing runs yet."""
    settings = dependencies.settings
    domain = settings.failure_domain
    mesh = dependencies.mesh
    placer_environment = PlacerEnvironment(
        dependencies.config.current,
        lambda: mesh.has_other_placer(domain),
        lambda: dependencies.followers.is_informed,
        mesh.has_traffic,
        mesh.demand,
        dependencies.report_stopped,
        mesh.state.roster.is_isolated,
        lambda: dependencies.followers.reachability.is_unreachable,
        dependencies.cold_seconds,
        lambda: _reaches_targets(dependencies),
        lambda instance: dependencies.dialer.is_own_path_sound(
            instance, since_boot()
        ),
    )
    table = dependencies.platform_adapters.table
    return GroupPlacer(
        _scope(settings),
        _lease(settings, table),
        table,
        dependencies.platform_adapters.orders,
        dependencies.fleet,
        placer_environment,
    )


def _reaches_targets(dependencies: PlacerDependencies) -> bool:
    """Return whether this node reaches any engine of its failure domain."""
    config = dependencies.config.current()
    return config is None or not dependencies.dialer.paths.is_domain_lost(
        dependencies.settings.failure_domain,
        lambda service: config.engine(service) is not None,
    )


def _lease(settings: ServingSettings, table: Table) -> Lease:
    return Lease(
        placement_duty(settings.failure_domain),
        settings.node_id,
        table,
        LeaseTimeouts(
            _VALID_SECONDS, _TAKEOVER_SECONDS, _ISOLATED_TAKEOVER_SECONDS
        ),
    )


def _scope(settings: ServingSettings) -> PlacerScope:
    return PlacerScope(
        settings.failure_domain,
        len(settings.all_failure_domains),
        settings.stall_ms / _MILLISECONDS,
    )
