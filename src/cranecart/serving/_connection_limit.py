"""How many connections of clients a node can have."""

from cranecart.settings import ServingSettings

_MIN_CONNECTIONS = 16
# File descriptors reserved for files, and the fraction of the others that clients
# may use: each request in flight also has a connection to a target, and idle
# connections to targets are kept open.
_RESERVED_DESCRIPTORS = 200
_CLIENT_FRACTION = 0.6
# Fraction of a node's memory that clients' connections may take, and what each
# takes besides the head that it has received.
_MEMORY_FRACTION = 0.25
_CONNECTION_BYTES = 20_000
_MEGABYTE = 1_000_000


def max_connections(settings: ServingSettings, head_bytes: int) -> int:
    """Return how many connections fit into descriptors and memory.

    Connections to targets, to the store and to other nodes need file
    descriptors too. A node that runs out of them answers neither clients nor
    the load balancer. Each connection may hold a head of ``head_bytes``.
    """
    available_descriptors = settings.max_descriptors - _RESERVED_DESCRIPTORS
    by_descriptors = available_descriptors * _CLIENT_FRACTION
    return max(
        _MIN_CONNECTIONS,
        int(min(by_descriptors, _by_memory(settings, head_bytes))),
    )


def _by_memory(settings: ServingSettings, head_bytes: int) -> float:
    if not settings.memory_mb:
        return float('inf')
    available_bytes = settings.memory_mb * _MEGABYTE * _MEMORY_FRACTION
    return available_bytes / (head_bytes + _CONNECTION_BYTES)
