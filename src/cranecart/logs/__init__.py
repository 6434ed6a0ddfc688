"""Structured logs: one JSON object a line, or text for people."""

from cranecart.logs._setup import decision, set_up_logging

__all__ = ('decision', 'set_up_logging')
