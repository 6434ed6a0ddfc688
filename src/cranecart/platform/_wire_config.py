"""The operator's configuration as it is written on the platform."""

import msgspec

from cranecart.models import EngineTiming

_WHOLE_WEIGHT = 1
_MILLISECONDS = 1000
_THOUSAND_TOKENS = 1000
_MILLION_PAIRS = 1000000
# What holds where a target tells nothing of its engine's times.
_TIMING = EngineTiming()


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
    that an instance keeps staged. A step's cost is told for each request that
    writes (``per_seq_ms``) and for 1,000 tokens of context, that of reading
    for a million pairs of tokens.
    """

    slots: int = 1
    models: list[WireModel] = []
    form_ms: float = 0
    cached_prefixes: int = 1
    loads_per_s: float = 1
    stride: int = 1
    chunk: int = 2048
    # On the wire these are not in camel case.
    loads_at_once: int = msgspec.field(default=1, name='loads_at_once')
    step_ms: float = msgspec.field(
        default=_TIMING.step_seconds * _MILLISECONDS,
        name='step_ms',
    )
    per_seq_ms: float = msgspec.field(
        default=_TIMING.request_seconds * _MILLISECONDS,
        name='per_seq_ms',
    )
    context_per_k: float = msgspec.field(
        default=_TIMING.context_seconds * _MILLISECONDS * _THOUSAND_TOKENS,
        name='context_per_k',
    )
    read_per_s: float = msgspec.field(
        default=_TIMING.prompt_rate,
        name='read_per_s',
    )
    pairs_per_m: float = msgspec.field(
        default=_TIMING.pair_seconds * _MILLISECONDS * _MILLION_PAIRS,
        name='pairs_per_m',
    )

    def timing(self) -> EngineTiming:
        """Return what the engine's passes cost."""
        return EngineTiming(
            self.step_ms / _MILLISECONDS,
            self.per_seq_ms / _MILLISECONDS,
            self.context_per_k / _MILLISECONDS / _THOUSAND_TOKENS,
            self.read_per_s,
            self.pairs_per_m / _MILLISECONDS / _MILLION_PAIRS,
            self.chunk,
            self.stride,
        )


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
