"""What the tasks of one placer share."""

from collections.abc import Callable

import attrs

from cranecart.duties import Lease
from cranecart.fleet import ReplicaRecord
from cranecart.ports import Orders

ReplicaCallback = Callable[[ReplicaRecord, str], None]


@attrs.frozen
class PlacerContext:
    """The lease, the orders, and whom to tell of what an order showed.

    ``doubt`` is told of a replica whose members should be checked, ``lost``
    of an instance whose life has ended, ``outdated`` of a replica whose
    epoch an instance refuses; ``is_lost`` tells what was found lost.
    """

    lease: Lease
    orders: Orders
    report_suspect: ReplicaCallback
    report_lost: Callable[[str, str], None]
    report_fenced: ReplicaCallback
    is_lost: Callable[[str], bool]
