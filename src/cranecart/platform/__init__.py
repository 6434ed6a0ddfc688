"""The adapter for the users' platform: translates, but takes no decisions."""

from cranecart.platform._calls import PlatformCallTranslator
from cranecart.platform._config_source import OperatorRow, PlatformConfigSource
from cranecart.platform._features import has_evacuations, has_slow_readers
from cranecart.platform._orders import PlatformOrders
from cranecart.platform._store import StoreClient
from cranecart.platform._tables import PlatformRowSource, PlatformTable
from cranecart.platform._targets import PlatformTargetList

__all__ = (
    'PlatformCallTranslator',
    'OperatorRow',
    'PlatformConfigSource',
    'PlatformOrders',
    'PlatformRowSource',
    'PlatformTable',
    'PlatformTargetList',
    'StoreClient',
    'has_evacuations',
    'has_slow_readers',
)
