"""The command line; modules of commands are imported lazily."""

from cranecart.cli._main import main

__all__ = ('main',)
