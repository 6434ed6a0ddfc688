"""Place and repair whole replicas within one failure domain."""

from cranecart.placement._actions import (
    Action,
    CreateReplica,
    DrainReplica,
    Order,
    ReplaceMembers,
    RetireReplica,
)
from cranecart.placement._placer import Placer
from cranecart.placement._plan import plan, plan_orders
from cranecart.placement._rows import PlacementRows
from cranecart.placement._state import DomainState

__all__ = (
    'Action',
    'CreateReplica',
    'DomainState',
    'DrainReplica',
    'Order',
    'PlacementRows',
    'Placer',
    'ReplaceMembers',
    'RetireReplica',
    'plan',
    'plan_orders',
)
