"""Forward client requests to targets according to the configured routes."""

from cranecart.forwarding._call import RoutedCall
from cranecart.forwarding._connections import TargetConnectionPool
from cranecart.forwarding._gateway import RoutedGateway
from cranecart.forwarding._resume_guard import ResumeGuard
from cranecart.forwarding._sender import Sender, SuspicionReporter
from cranecart.forwarding._sse import EventSplitter
from cranecart.forwarding._startup import StartupGate

__all__ = (
    'EventSplitter',
    'SuspicionReporter',
    'ResumeGuard',
    'RoutedCall',
    'RoutedGateway',
    'Sender',
    'StartupGate',
    'TargetConnectionPool',
)
