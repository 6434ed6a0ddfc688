"""Client of a platform with the native protocol.

The platform offers a table, an object store and a list of instances.
"""

from cranecart.native._client import PlatformClient
from cranecart.native._write_batcher import WriteBatcher

__all__ = ('PlatformClient', 'WriteBatcher')
