"""A node of the native platform: builds and connects its components."""

from cranecart.node._node import Node

__all__ = ('Node',)
