"""A node on a deployment's platform: builds and connects its components."""

from cranecart.serving._node import ServingNode

__all__ = ('ServingNode',)
