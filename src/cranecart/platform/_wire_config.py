"""The operator's configuration in the format of the platform.

Each number may be an integer or a fraction, and may be missing: a stricter type
for one of them would make the complete configuration unreadable.
"""

import msgspec

from cranecart.models import EngineTiming
from cranecart.ports import CounterInt, bounded

_DEFAULT_WEIGHT = 1
_MILLISECONDS = 1000
_THOUSAND_TOKENS = 1000
_MILLION_PAIRS = 1000000
# Applies where a service does not state the times of its engine.
_DEFAULT_TIMING = EngineTiming()
# The timeout of a route that states none; equal to the default idle timeout of
# connections.
_DEFAULT_TIMEOUT_MS = 60000
_DEFAULT_PRIORITY = 5
# Applies where a service states a rate for cold targets and no duration.
_DEFAULT_COLD_START_S = 3


def whole_number(number: float, minimum: int = 0) -> int:
    """Round a number down to an integer within the bounds of quantities."""
    return max(minimum, int(bounded(number)))


class WireShare(msgspec.Struct):
    """The share of a service in a route that is split between services."""

    service: str = ''
    weight: float = _DEFAULT_WEIGHT


class WireRoute(msgspec.Struct, rename='camel'):
    """A route; ``type`` is 'streaming', 'safe' for idempotent, or another."""

    name: str = ''
    host: str = ''
    path_prefix: str = ''
    type: str = ''
    timeout_ms: float = _DEFAULT_TIMEOUT_MS
    slo_ms: float = 0
    priority: float = _DEFAULT_PRIORITY
    service: str = ''
    split: list[WireShare] = []
    attempts: float = 1
    public: bool = False
    resumable: bool = False
    gap_target_ms: float = 0


class WireModel(msgspec.Struct, rename='camel'):
    """A model; ``warmupS`` is the time to load it if it is staged."""

    name: str = ''
    size: float = 1
    share: float = 1
    pace: float = 1
    load_s: float = 0
    warmup_s: float = 0


class WireRuntime(msgspec.Struct, rename='camel'):
    """The properties of a service's engines.

    ``cachedPrefixes`` is the number of models that an instance keeps staged.
    The cost of a decoding step is ``step_ms``, plus ``per_seq_ms`` per request
    that generates tokens and ``context_per_k`` per 1,000 tokens of context.
    Prefill runs at ``read_per_s`` tokens a second, plus ``pairs_per_m`` per
    million pairs of tokens, in chunks of ``chunk`` tokens. A pass of the engine
    has ``stride`` steps. ``context_per_k`` and ``pairs_per_m`` are in ms.
    """

    slots: float = 1
    models: list[WireModel] = []
    form_ms: float = 0
    cached_prefixes: float = 1
    loads_per_s: float = 1
    stride: float = 1
    chunk: float = _DEFAULT_TIMING.chunk_tokens
    # The platform does not use camel case for the following names.
    loads_at_once: float = msgspec.field(default=1, name='loads_at_once')
    step_ms: float = msgspec.field(
        default=_DEFAULT_TIMING.step_seconds * _MILLISECONDS,
        name='step_ms',
    )
    per_seq_ms: float = msgspec.field(
        default=_DEFAULT_TIMING.request_seconds * _MILLISECONDS,
        name='per_seq_ms',
    )
    context_per_k: float = msgspec.field(
        default=_DEFAULT_TIMING.context_seconds
        * _MILLISECONDS
        * _THOUSAND_TOKENS,
        name='context_per_k',
    )
    read_per_s: float = msgspec.field(
        default=_DEFAULT_TIMING.prompt_rate,
        name='read_per_s',
    )
    pairs_per_m: float = msgspec.field(
        default=_DEFAULT_TIMING.pair_seconds * _MILLISECONDS * _MILLION_PAIRS,
        name='pairs_per_m',
    )

    def timing(self) -> EngineTiming:
        """Return the cost of the engine's steps."""
        return EngineTiming(
            bounded(self.step_ms) / _MILLISECONDS,
            bounded(self.per_seq_ms) / _MILLISECONDS,
            bounded(self.context_per_k) / _MILLISECONDS / _THOUSAND_TOKENS,
            bounded(self.read_per_s) or _DEFAULT_TIMING.prompt_rate,
            bounded(self.pairs_per_m) / _MILLISECONDS / _MILLION_PAIRS,
            whole_number(self.chunk, 1),
            bounded(self.stride) or 1,
        )


class WireService(msgspec.Struct, rename='camel'):
    """A service; only services with models have a ``runtime``.

    Its targets are cold for ``coldStartS`` after a start and then take
    ``coldPerS`` requests a second from all nodes together; 0 is no limit.
    """

    name: str = ''
    runtime: WireRuntime | None = None
    cold_start_s: float = _DEFAULT_COLD_START_S
    cold_per_s: float = 0


class WireLimits(msgspec.Struct, rename='camel'):
    """Limits on clients' requests."""

    max_header_bytes: float = 16384
    max_body_bytes: float = 4194304
    header_timeout_ms: float = 10000
    idle_timeout_ms: float = 60000


class WireTenant(msgspec.Struct, rename='camel'):
    """An organisation, called tenant by the platform, and its API keys."""

    name: str = ''
    api_keys: list[str] = []
    priority: float | None = None


class WireConfig(msgspec.Struct):
    """The complete configuration row."""

    version: CounterInt
    routes: list[WireRoute] = []
    services: list[WireService] = []
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    tenants: list[WireTenant] | None = None
