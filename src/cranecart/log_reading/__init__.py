"""Reading of decision logs, for the ``explain`` command."""

from cranecart.log_reading._reading import (
    LogLine,
    lines_about_target_ends,
    lines_mentioning,
    lines_with_context,
    read_lines,
)

__all__ = (
    'LogLine',
    'lines_mentioning',
    'lines_about_target_ends',
    'lines_with_context',
    'read_lines',
)
