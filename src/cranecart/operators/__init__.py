"""The admin interface of a node and its client."""

from cranecart.operators._admin import AdminInterface, NodeStatus
from cranecart.operators._client import OperatorClient

__all__ = ('AdminInterface', 'NodeStatus', 'OperatorClient')
