"""Clients as a peer: the HTTP interface that they call."""

from cranecart.clients._gateway import Gateway
from cranecart.clients._request_parsing import parse_call

__all__ = ('Gateway', 'parse_call')
