"""The operator's configuration as it is written on the platform.

Every figure may be a whole number or a fraction, and any may be missing: one
that is read more narrowly makes the whole configuration unreadable.
"""

import msgspec

from cranecart.models import EngineTiming

_WHOLE_WEIGHT = 1
_MILLISECONDS = 1000
_THOUSAND_TOKENS = 1000
_MILLION_PAIRS = 1000000
# What holds where a target tells nothing of its engine's times.
_TIMING = EngineTiming()
# Where a route names no time, it is held for no longer than connections rest.
_UNTOLD_TIMEOUT_MS = 60000
_UNTOLD_RANK = 5


def whole_number(figure: float, least: int = 0) -> int:
    """Return what a figure is worth where only whole ones count."""
    return max(least, int(figure))


class WireShare(msgspec.Struct):
    """One service of a split route."""

    service: str = ''
    weight: float = _WHOLE_WEIGHT


class WireRoute(msgspec.Struct, rename='camel'):
    """A route; ``type`` tells streams, repeatable and other requests."""

    name: str = ''
    host: str = ''
    path_prefix: str = ''
    type: str = ''
    timeout_ms: float = _UNTOLD_TIMEOUT_MS
    slo_ms: float = 0
    priority: float = _UNTOLD_RANK
    service: str = ''
    split: list[WireShare] = []
    attempts: float = 1
    public: bool = False
    resumable: bool = False
    gap_target_ms: float = 0


class WireModel(msgspec.Struct, rename='camel'):
    """A model; ``warmupS`` is the time to load it once it is staged."""

    name: str = ''
    size: float = 1
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

    slots: float = 1
    models: list[WireModel] = []
    form_ms: float = 0
    cached_prefixes: float = 1
    loads_per_s: float = 1
    stride: float = 1
    chunk: float = _TIMING.chunk_tokens
    # On the wire these are not in camel case.
    loads_at_once: float = msgspec.field(default=1, name='loads_at_once')
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
            self.read_per_s or _TIMING.prompt_rate,
            self.pairs_per_m / _MILLISECONDS / _MILLION_PAIRS,
            whole_number(self.chunk, 1),
            self.stride or 1,
        )


class WireService(msgspec.Struct):
    """A service; only model services have a runtime."""

    name: str = ''
    runtime: WireRuntime | None = None


class WireLimits(msgspec.Struct, rename='camel'):
    """Bounds on clients' requests."""

    max_header_bytes: float = 16384
    max_body_bytes: float = 4194304
    header_timeout_ms: float = 10000
    idle_timeout_ms: float = 60000


class WireTenant(msgspec.Struct, rename='camel'):
    """The platform's word for an organisation, with its keys."""

    name: str = ''
    api_keys: list[str] = []
    priority: float | None = None


class WireConfig(msgspec.Struct):
    """The operator's row in whole."""

    version: int
    routes: list[WireRoute] = []
    services: list[WireService] = []
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    tenants: list[WireTenant] | None = None
