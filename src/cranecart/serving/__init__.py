"""A node on a deployment's platform: all its parts, wired together."""

from cranecart.serving._node import ServingNode

__all__ = ('ServingNode',)
