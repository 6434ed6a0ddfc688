"""The command line: a registry of commands that imports lazily."""

from cranecart.cli._main import main

__all__ = ('main',)
