"""Log lines read back, for explaining a decision."""

from cranecart.log_reading._reading import (
    LogLine,
    lines_about,
    lines_about_held,
    lines_around,
    read_lines,
)

__all__ = (
    'LogLine',
    'lines_about',
    'lines_about_held',
    'lines_around',
    'read_lines',
)
