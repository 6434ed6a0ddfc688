"""Logging setup for commands that do not use the log queue."""

from cranecart.log_setup._setup import set_up_logging

__all__ = ('set_up_logging',)
