"""Pass clients' requests on to targets by the routes in force."""

from cranecart.forwarding._call import RoutedCall
from cranecart.forwarding._connections import TargetConnections
from cranecart.forwarding._events import EventCutter
from cranecart.forwarding._gateway import RoutedGateway
from cranecart.forwarding._sender import Evidence, Sender
from cranecart.forwarding._starting import StartGate

__all__ = (
    'EventCutter',
    'Evidence',
    'RoutedCall',
    'RoutedGateway',
    'Sender',
    'StartGate',
    'TargetConnections',
)
