"""The operator's configuration, decoded into ``RouteConfig``."""

import attrs

from cranecart.models import (
    ClientLimits,
    ColdStart,
    EngineModel,
    EngineProfile,
    KeyHolder,
    Route,
    RouteConfig,
    ServiceProfile,
    Share,
    hash_key,
)
from cranecart.platform._load_headers import MAX_COLD_SECONDS, MAX_PER_SECOND
from cranecart.platform._store import StoreClient, WireRow, decode_row
from cranecart.platform._wire_config import (
    WireConfig,
    WireLimits,
    WireModel,
    WireRoute,
    WireService,
    WireTenant,
    whole_number,
)
from cranecart.ports import Changes, Snapshot

_TABLE = 'op'
_KEY = 'config'
_MILLISECONDS = 1000
_STREAMING = 'streaming'
_SAFE = 'safe'
_DEFAULT_WEIGHT = 1


@attrs.frozen
class PlatformConfigSource:
    """The operator's configuration as a source to follow."""

    _store: StoreClient

    async def snapshot(self) -> Snapshot[RouteConfig]:
        """Read the configuration, if there is one yet."""
        rows = await self._store.read_part(_TABLE, '', _KEY)
        return Snapshot(
            rows.schema_version,
            {
                row.key_file: decode_config(row)
                for row in rows.rows
                if row.key_file == _KEY
            },
        )

    async def changes(
        self,
        since: int,
        wait_seconds: float,
    ) -> Changes[RouteConfig]:
        """Wait for the next version of the configuration."""
        changed = await self._store.feed(_TABLE, since, wait_seconds)
        return Changes(
            changed.schema_version,
            {
                row.key_file: decode_config(row)
                for row in changed.rows
                if row.key_file == _KEY and not row.deleted
            },
        )


def decode_config(row: WireRow) -> RouteConfig:
    """Decode the operator's row.

    Raise ``PlatformUnavailableError`` if it is invalid.
    """
    wire: WireConfig = decode_row(row, WireConfig)
    return RouteConfig(
        wire.version,
        tuple(map(_decode_route, wire.routes)),
        {service.name: _decode_service(service) for service in wire.services},
        None
        if wire.tenants is None
        else tuple(map(_decode_key_holder, wire.tenants)),
        _decode_limits(wire.limits),
    )


def _decode_route(wire: WireRoute) -> Route:
    shares = tuple(Share(share.service, share.weight) for share in wire.split)
    return Route(
        name=wire.name,
        host=wire.host,
        prefix=wire.path_prefix,
        repeatable=wire.type == _SAFE,
        streaming=wire.type == _STREAMING,
        resumable=wire.resumable,
        timeout_seconds=wire.timeout_ms / _MILLISECONDS,
        # Without an objective, the request may take its full timeout.
        objective_seconds=(wire.slo_ms or wire.timeout_ms) / _MILLISECONDS,
        pause_seconds=wire.gap_target_ms / _MILLISECONDS,
        rank=whole_number(wire.priority),
        attempts=whole_number(wire.attempts, 1),
        public=wire.public,
        shares=shares or (Share(wire.service, _DEFAULT_WEIGHT),),
    )


def _decode_service(wire: WireService) -> ServiceProfile:
    runtime = wire.runtime
    cold = _decode_cold_start(wire)
    if runtime is None or not runtime.models:
        return ServiceProfile(wire.name, cold=cold)
    return ServiceProfile(
        wire.name,
        EngineProfile(
            tuple(map(_decode_model, runtime.models)),
            whole_number(runtime.slots, 1),
            runtime.form_ms / _MILLISECONDS,
            runtime.loads_per_s,
            whole_number(runtime.cached_prefixes),
            whole_number(runtime.loads_at_once, 1),
            runtime.timing(),
        ),
        cold,
    )


def _decode_cold_start(wire: WireService) -> ColdStart | None:
    if wire.cold_per_s <= 0:
        return None
    return ColdStart(
        min(max(0, wire.cold_start_s), MAX_COLD_SECONDS),
        min(wire.cold_per_s, MAX_PER_SECOND),
    )


def _decode_model(wire: WireModel) -> EngineModel:
    return EngineModel(
        wire.name,
        whole_number(wire.size, 1),
        wire.pace,
        wire.share,
        wire.load_s,
        wire.warmup_s,
    )


def _decode_key_holder(wire: WireTenant) -> KeyHolder:
    return KeyHolder(
        wire.name,
        tuple(map(hash_key, wire.api_keys)),
        None if wire.priority is None else whole_number(wire.priority),
    )


def _decode_limits(wire: WireLimits) -> ClientLimits:
    return ClientLimits(
        whole_number(wire.max_header_bytes, 1),
        whole_number(wire.max_body_bytes),
        wire.header_timeout_ms / _MILLISECONDS,
        wire.idle_timeout_ms / _MILLISECONDS,
    )
