"""The platform of the native protocol: table, objects, instance list."""

from cranecart.native._batch import WriteBatcher
from cranecart.native._client import PlatformClient

__all__ = ('PlatformClient', 'WriteBatcher')
