"""Client of a platform with the native protocol.

The platform offers a table, an object store and a list of instances.
"""

from cranecart.native._write_batcher import WriteBatcher
from cranecart.native._client import PlatformClient

__all__ = ('PlatformClient', 'WriteBatcher')
