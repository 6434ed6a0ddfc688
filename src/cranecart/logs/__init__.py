"""Structured logs, one JSON object per line."""

from cranecart.logs._decisions import log_decision
from cranecart.logs._lines import (
    LogQueue,
    RequestTrace,
    sampling_position,
    set_log_level,
    set_up_log_queue,
)
from cranecart.logs._unreadable import UnreadableRowLog

__all__ = (
    'LogQueue',
    'RequestTrace',
    'UnreadableRowLog',
    'log_decision',
    'sampling_position',
    'set_log_level',
    'set_up_log_queue',
)
