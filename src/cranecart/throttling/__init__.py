"""Limits and back-off times that targets announce; no I/O."""

from cranecart.throttling._limits import LimitRegistry, LimitUpdate
from cranecart.throttling._shares import FewestNodes, Share, ShareRule
from cranecart.throttling._throttle import CountSharingNodes, TargetThrottle

__all__ = (
    'FewestNodes',
    'LimitRegistry',
    'LimitUpdate',
    'Share',
    'ShareRule',
    'CountSharingNodes',
    'TargetThrottle',
)
