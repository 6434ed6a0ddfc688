"""Where logs of programs without a line queue go."""

from cranecart.log_setup._setup import set_up_logging

__all__ = ('set_up_logging',)
