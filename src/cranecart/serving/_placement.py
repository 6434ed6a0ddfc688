"""Make this node's placer. Importing this loads all that placement needs."""

from cranecart.fleet import placement_duty
from cranecart.grouping import GroupPlacer, PlacerEnvironment, PlacerScope
from cranecart.leases import Lease, LeaseTimeouts
from cranecart.ports import Table
from cranecart.serving._placer_host import PlacerDependencies
from cranecart.settings import ServingSettings

_MILLISECONDS = 1000
# The holder renews every 2 s, as each renewal costs a call, and every second
# while it hears nobody; others look only once its beats are silent. A holder
# that stalls loses the duty's rows by their versions, so that a takeover needs
# no longer wait than a renewal (docs/design/platform.md), but by who may be the
# one that is cut off: two such took the duty from each other by turns.
_TRUSTED_SECONDS = 5.0
_TAKEOVER_SECONDS = 1.2
_PATIENT_SECONDS = 3.5


def make_placer(parts: PlacerDependencies) -> GroupPlacer:
    """Build the placer of a node's failure domain; nothing runs yet."""
    settings = parts.settings
    domain = settings.failure_domain
    mesh = parts.mesh
    environment = PlacerEnvironment(
        parts.config.current,
        lambda: mesh.has_other_placer(domain),
        lambda: parts.followers.is_informed,
        mesh.has_traffic,
        mesh.demand,
        parts.report_stopped,
        mesh.state.roster.is_isolated,
        lambda: parts.followers.reachability.is_unreachable,
    )
    table = parts.platform_adapters.table
    return GroupPlacer(
        _scope(settings),
        _lease(settings, table),
        table,
        parts.platform_adapters.orders,
        parts.fleet,
        environment,
    )


def _lease(settings: ServingSettings, table: Table) -> Lease:
    return Lease(
        placement_duty(settings.failure_domain),
        settings.node_id,
        table,
        LeaseTimeouts(_TRUSTED_SECONDS, _TAKEOVER_SECONDS, _PATIENT_SECONDS),
    )


def _scope(settings: ServingSettings) -> PlacerScope:
    return PlacerScope(
        settings.failure_domain,
        len(settings.all_failure_domains),
        settings.stall_ms / _MILLISECONDS,
    )
