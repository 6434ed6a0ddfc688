"""Features that a deployment's platform states in its settings."""

from collections.abc import Collection

# Clients and targets that read slowly: what a node holds for them counts as
# its memory.
_SLOW_READERS = 'pressure'
# Operators may evacuate failure domains.
_EVACUATIONS = 'places'


def has_slow_readers(features: Collection[str]) -> bool:
    """Return whether memory held for unread responses has to be bounded."""
    return _SLOW_READERS in features


def has_evacuations(features: Collection[str]) -> bool:
    """Return whether operators may evacuate failure domains."""
    return _EVACUATIONS in features
