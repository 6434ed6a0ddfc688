"""Limits, back-off times and cold periods of targets; no I/O."""

from cranecart.throttling._cold import ColdUpdate
from cranecart.throttling._cold_entries import ColdEntries
from cranecart.throttling._cold_throttle import ColdSharing
from cranecart.throttling._limits import LimitRegistry, LimitUpdate
from cranecart.throttling._shares import (
    ColdRule,
    FewestNodes,
    Share,
    ShareRule,
    split_requests,
)
from cranecart.throttling._throttle import CountSharingNodes, TargetThrottle

__all__ = (
    'ColdEntries',
    'ColdRule',
    'ColdSharing',
    'ColdUpdate',
    'FewestNodes',
    'LimitRegistry',
    'LimitUpdate',
    'Share',
    'ShareRule',
    'CountSharingNodes',
    'TargetThrottle',
    'split_requests',
)
