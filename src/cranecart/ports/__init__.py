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
from cranecart.ports._table import Check, Put, Row, Table, Transaction
from cranecart.ports._versions import era_of, make_version, store_number_of

__all__ = (
    'ResponseInfo',
    'RequestInfo',
    'CallTranslator',
    'Changes',
    'Check',
    'Dispatch',
    'Incarnation',
    'ListedInstance',
    'MemberPhase',
    'Membership',
    'Orders',
    'Put',
    'Row',
    'Snapshot',
    'Source',
    'Table',
    'Transaction',
    'era_of',
    'store_number_of',
    'make_version',
)
