"""The HTTP API for clients of the native deployment."""

from cranecart.clients._gateway import Gateway
from cranecart.clients._request_parsing import parse_call

__all__ = ('Gateway', 'parse_call')
