"""The HTTP API for clients of the native deployment."""

from cranecart.client_api._gateway import Gateway
from cranecart.client_api._request_parsing import parse_call

__all__ = ('Gateway', 'parse_call')
