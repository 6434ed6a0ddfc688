"""The platform adapters of a node, one for each port."""

from collections import Counter
from typing import Self

import attrs

from cranecart.fleet import RECORDS_PART, RECORDS_TABLE
from cranecart.http import Address
from cranecart.platform import (
    OperatorRow,
    PlatformCallTranslator,
    PlatformConfigSource,
    PlatformOrders,
    PlatformRowSource,
    PlatformTable,
    PlatformTargetList,
    StoreClient,
)
from cranecart.ports import (
    CallTranslator,
    ListedInstance,
    Orders,
    Row,
    Source,
    Table,
)
from cranecart.reachability import TargetDialer
from cranecart.settings import ServingSettings


@attrs.frozen
class PlatformAdapters:
    """The implementations of all ports through which a node uses the platform.

    ``store_call_counts`` counts the calls to the store by kind.
    """

    table: Table
    configuration: Source[OperatorRow]
    instances: Source[ListedInstance]
    records: Source[Row]
    orders: Orders
    call_form: CallTranslator
    store_call_counts: Counter[str]

    @classmethod
    def from_settings(
        cls, settings: ServingSettings, dialer: TargetDialer
    ) -> Self:
        """Build the adapters for the platform address in the settings."""
        store = StoreClient(Address.from_text(settings.platform_address))
        return cls(
            PlatformTable(store),
            PlatformConfigSource(store),
            PlatformTargetList(store),
            PlatformRowSource(
                store,
                RECORDS_TABLE,
                (RECORDS_PART,),
            ),
            PlatformOrders(dialer.is_own_path_sound),
            PlatformCallTranslator(),
            store.counts,
        )
