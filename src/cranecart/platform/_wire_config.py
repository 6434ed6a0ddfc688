"""The operator's configuration as it is written on the platform."""

import msgspec

_WHOLE_WEIGHT = 1


class WireShare(msgspec.Struct):
    """One service of a split route."""

    service: str
    weight: int = _WHOLE_WEIGHT


class WireRoute(msgspec.Struct, rename='camel'):
    """A route; ``type`` tells streams, repeatable and other requests."""

    name: str
    host: str
    path_prefix: str
    type: str
    timeout_ms: float
    slo_ms: float = 0
    priority: int = 5
    service: str = ''
    split: list[WireShare] = []
    attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_target_ms: float = 0


class WireModel(msgspec.Struct, rename='camel'):
    """A model; ``warmupS`` is the time to load it once it is staged."""

    name: str
    size: int = 1
    share: float = 1
    pace: float = 1
    load_s: float = 0
    warmup_s: float = 0


class WireRuntime(msgspec.Struct, rename='camel'):
    """How a service's engines work; ``cachedPrefixes`` counts the models
    that an instance keeps staged.
    """

    slots: int = 1
    models: list[WireModel] = []
    form_ms: float = 0
    cached_prefixes: int = 1
    loads_per_s: float = 1
    # On the wire this one is not in camel case.
    loads_at_once: int = msgspec.field(default=1, name='loads_at_once')


class WireService(msgspec.Struct):
    """A service; only model services have a runtime."""

    name: str
    runtime: WireRuntime | None = None


class WireLimits(msgspec.Struct, rename='camel'):
    """Bounds on clients' requests."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 10000
    idle_timeout_ms: float = 60000


class WireTenant(msgspec.Struct, rename='camel'):
    """The platform's word for an organisation, with its keys."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None


class WireConfig(msgspec.Struct):
    """The operator's row in whole."""

    version: int
    routes: list[WireRoute] = []
    services: list[WireService] = []
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    tenants: list[WireTenant] | None = None
