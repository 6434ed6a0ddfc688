"""The operator's rows: the configuration and evacuations, decoded."""

import itertools
import re
from collections.abc import Collection, Iterable

import attrs

from cranecart.exceptions import PlatformUnavailableError
from cranecart.logs import log_decision
from cranecart.models import (
    ClientLimits,
    ColdStart,
    EngineModel,
    EngineProfile,
    Evacuation,
    KeyHolder,
    Route,
    RouteConfig,
    ServiceProfile,
    Share,
    hash_key,
    hash_key_forms,
)
from cranecart.platform._load_headers import MAX_COLD_SECONDS, MAX_PER_SECOND
from cranecart.platform._store import StoreClient
from cranecart.platform._wire_config import (
    WireConfig,
    WireLimits,
    WireModel,
    WireRoute,
    WireService,
    WireTenant,
    whole_number,
)
from cranecart.platform._wire_rows import WireRow, decode_row
from cranecart.ports import Changes, Snapshot, bounded

_TABLE = 'op'
_KEY = 'config'
_EVACUATION_KEY = re.compile('evacuate/.+', re.DOTALL)
# No control characters, and no blanks at the ends.
_HEADER_KEY = re.compile(
    r'[^\x00-\x20\x7f]([^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?'
)
_MILLISECONDS = 1000
_STREAMING = 'streaming'
_SAFE = 'safe'
_DEFAULT_WEIGHT = 1


OperatorRow = RouteConfig | Evacuation


@attrs.define
class PlatformConfigSource:
    """The operator's configuration and evacuations as a source to follow.

    An evacuation is the row ``evacuate/ZONE``, whatever its value. If the row
    was deleted, its item is an evacuation that is not active. The first page of
    a read starts at the configuration, whose key comes before theirs.

    An invalid configuration must not delay the start or end of an evacuation.
    Once one was read, an invalid configuration is left out; the feed shows
    when it is written again. Until then reading it raises
    ``PlatformUnavailableError``.
    """

    _store: StoreClient
    _has_read_evacuations: bool = attrs.field(default=False, init=False)

    @property
    def is_receiving_changes(self) -> bool:
        """Return whether the changes waited for have begun to arrive."""
        return self._store.is_receiving_changes(_TABLE)

    async def snapshot(self) -> Snapshot[OperatorRow]:
        """Read the configuration, if there is one yet, and evacuations."""
        rows = await self._store.read_part(
            _TABLE, '', _KEY, rows_are_independent=True
        )
        return Snapshot(
            rows.schema_version, self._decode(rows.rows, rows.schema_version)
        )

    async def changes(
        self,
        since: int,
        wait_seconds: float,
    ) -> Changes[OperatorRow]:
        """Wait for the next change of the configuration or an evacuation."""
        changed = await self._store.feed(_TABLE, since, wait_seconds)
        return Changes(
            changed.schema_version,
            self._decode(changed.rows, changed.schema_version),
        )

    def _decode(
        self, rows: Collection[WireRow], table_version: int
    ) -> dict[str, OperatorRow]:
        """Decode the rows; leave out those of any other kind."""
        evacuations = {
            row.key_file: _decode_evacuation(row, table_version)
            for row in rows
            if _EVACUATION_KEY.fullmatch(row.key_file) and not row.part
        }
        # A full read may show the end of evacuations by having no rows of them.
        self._has_read_evacuations |= bool(evacuations)
        configs = [
            row for row in rows if row.key_file == _KEY and not row.deleted
        ]
        return {
            **evacuations,
            **_decode_configs(configs, self._has_read_evacuations),
        }


def _decode_configs(
    rows: Iterable[WireRow], may_omit: bool
) -> dict[str, RouteConfig]:
    """Decode the configuration; with ``may_omit``, leave out an invalid one."""
    try:
        return {row.key_file: decode_config(row) for row in rows}
    except PlatformUnavailableError as error:
        if not may_omit:
            raise
        log_decision('config_unreadable', row=_KEY, why=str(error))
    return {}


def _decode_evacuation(row: WireRow, table_version: int) -> Evacuation:
    """Decode an evacuation; its value does not matter.

    A deleted row is absent as of the version of the table that was read, which
    is higher than that of any earlier state of the row.
    """
    version = table_version if row.deleted else row.schema_version
    zone = row.key_file.partition('/')[2]
    return Evacuation(zone, version, not row.deleted)


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
    shares = tuple(
        Share(share.service, bounded(share.weight)) for share in wire.split
    )
    return Route(
        name=wire.name,
        host=wire.host,
        prefix=wire.path_prefix,
        repeatable=wire.type == _SAFE,
        streaming=wire.type == _STREAMING,
        resumable=wire.resumable,
        timeout_seconds=bounded(wire.timeout_ms) / _MILLISECONDS,
        # Without an objective, the request may take its full timeout.
        objective_seconds=(bounded(wire.slo_ms) or bounded(wire.timeout_ms))
        / _MILLISECONDS,
        pause_seconds=bounded(wire.gap_target_ms) / _MILLISECONDS,
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
            bounded(runtime.form_ms) / _MILLISECONDS,
            bounded(runtime.loads_per_s),
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
        bounded(wire.pace),
        bounded(wire.share),
        bounded(wire.load_s),
        bounded(wire.warmup_s),
    )


def _decode_key_holder(wire: WireTenant) -> KeyHolder:
    usable = [key for key in wire.api_keys if _is_usable_key(wire.name, key)]
    return KeyHolder(
        wire.name,
        tuple(itertools.chain.from_iterable(map(hash_key_forms, usable))),
        None if wire.priority is None else whole_number(wire.priority),
    )


def _is_usable_key(holder: str, key: str) -> bool:
    """Return whether a header can carry a key; log it otherwise."""
    is_usable = _HEADER_KEY.fullmatch(key) is not None
    if not is_usable:
        log_decision(
            'api_key_unusable',
            organisation=holder,
            sha256=hash_key(key),
            why='it is empty, or has control characters or outer blanks',
        )
    return is_usable


def _decode_limits(wire: WireLimits) -> ClientLimits:
    return ClientLimits(
        whole_number(wire.max_header_bytes, 1),
        whole_number(wire.max_body_bytes),
        bounded(wire.header_timeout_ms) / _MILLISECONDS,
        bounded(wire.idle_timeout_ms) / _MILLISECONDS,
    )
