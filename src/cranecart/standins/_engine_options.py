"""Options of the stand-in engine."""

import attrs

from cranecart.http import Address


@attrs.frozen
class EngineOptions:
    """Identity, capacity and timing of an engine instance.

    ``checks_fencing`` is whether it rejects orders with an old fencing token,
    ``checks_members`` whether the leader probes the other members.
    ``report_lag_ms`` is the interval at which the reported load is updated.
    """

    instance: str
    platform: Address
    slots: int = 16
    first_token_ms: int = 20
    token_ms: int = 5
    prefill_ms: int = 30
    cached_prefixes: int = 64
    checks_fencing: bool = True
    checks_members: bool = True
    report_lag_ms: int = 200
