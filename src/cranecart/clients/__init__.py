"""Clients as a peer: the HTTP interface that they call."""

from cranecart.clients._gateway import Gateway
from cranecart.clients._reading import read_call

__all__ = ('Gateway', 'read_call')
