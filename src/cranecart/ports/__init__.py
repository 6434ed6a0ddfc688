"""Interfaces to the platform, independent of any wire protocol.

The native protocol and the adapter of a deployment's platform implement them.
"""

from cranecart.ports._calls import (
    CallTranslator,
    Dispatch,
    RequestInfo,
    ResponseInfo,
)
from cranecart.ports._listed import (
    Changes,
    Incarnation,
    ListedInstance,
    MemberPhase,
    Membership,
    Orders,
    Snapshot,
    Source,
)
from cranecart.ports._numbers import (
    Bandwidth,
    CounterFloat,
    CounterInt,
    Port,
    RequestCount,
    Seconds,
    SlotsFloat,
    bounded,
)
from cranecart.ports._table import Check, Put, Row, Table, Transaction
from cranecart.ports._versions import era_of, make_version, store_number_of

__all__ = (
    'ResponseInfo',
    'RequestInfo',
    'Bandwidth',
    'CallTranslator',
    'Changes',
    'Check',
    'CounterInt',
    'CounterFloat',
    'Dispatch',
    'Incarnation',
    'ListedInstance',
    'MemberPhase',
    'Membership',
    'Orders',
    'Port',
    'Put',
    'RequestCount',
    'Seconds',
    'Row',
    'SlotsFloat',
    'Snapshot',
    'Source',
    'Table',
    'Transaction',
    'bounded',
    'era_of',
    'store_number_of',
    'make_version',
)
