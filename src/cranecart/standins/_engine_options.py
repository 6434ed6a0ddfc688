"""How a stand-in engine behaves while it has no faults."""

import attrs

from cranecart.http import Address


@attrs.frozen
class EngineOptions:
    """How an engine instance behaves."""

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
