"""The platform as a peer: table service, objects and instance list."""

from cranecart.platform._batch import WriteBatcher
from cranecart.platform._client import PlatformClient
from cranecart.platform._table import Check, Put, Row, Transaction

__all__ = (
    'Check',
    'PlatformClient',
    'Put',
    'Row',
    'Transaction',
    'WriteBatcher',
)
