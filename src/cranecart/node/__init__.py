"""One node: all its parts, wired together from its settings."""

from cranecart.node._node import Node

__all__ = ('Node',)
