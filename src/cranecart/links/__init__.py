"""Messages between nodes: one socket to hear all, one to speak to each."""

from cranecart.links._link import NodeLink

__all__ = ('NodeLink',)
