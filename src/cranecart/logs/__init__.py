"""Structured logs: one JSON object a line, or text for people."""

from cranecart.logs._decisions import decision
from cranecart.logs._lines import (
    LineQueue,
    RequestTrace,
    set_log_level,
    set_up_lines,
)
from cranecart.logs._unreadable import UnreadableRows

__all__ = (
    'LineQueue',
    'RequestTrace',
    'UnreadableRows',
    'decision',
    'set_log_level',
    'set_up_lines',
)
