"""Structured logs: one JSON object a line, or text for people."""

from cranecart.logs._lines import (
    LineQueue,
    RequestTrace,
    set_log_level,
    set_up_lines,
)
from cranecart.logs._reading import (
    LogLine,
    lines_about,
    lines_about_held,
    lines_around,
    read_lines,
)
from cranecart.logs._setup import decision, set_up_logging
from cranecart.logs._unreadable import UnreadableRows

__all__ = (
    'LineQueue',
    'LogLine',
    'RequestTrace',
    'UnreadableRows',
    'decision',
    'lines_about',
    'lines_about_held',
    'lines_around',
    'read_lines',
    'set_log_level',
    'set_up_lines',
    'set_up_logging',
)
