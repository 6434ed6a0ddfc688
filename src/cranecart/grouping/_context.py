"""Dependencies that the replica tasks of one placer share."""

from collections.abc import Callable

import attrs

from cranecart.fleet import ReplicaRecord
from cranecart.grouping._fenced_orders import FencedOrders
from cranecart.leases import Lease

ReplicaCallback = Callable[[ReplicaRecord, str], None]


@attrs.frozen
class PlacerContext:
    """The lease, the orders, and callbacks for what an order revealed.

    ``report_suspect`` receives a replica whose members should be checked,
    ``report_lost`` an instance that has ended, ``report_fenced`` a replica
    whose epoch an instance has refused. ``is_lost`` returns whether an instance
    is considered lost.
    """

    lease: Lease
    orders: FencedOrders
    report_suspect: ReplicaCallback
    report_lost: Callable[[str, str], None]
    report_fenced: ReplicaCallback
    is_lost: Callable[[str], bool]
