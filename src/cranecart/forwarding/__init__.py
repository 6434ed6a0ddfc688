"""Forward client requests to targets according to the configured routes."""

from cranecart.forwarding._call import RoutedCall
from cranecart.forwarding._connections import TargetConnectionPool
from cranecart.forwarding._forwarder import CallForwarder
from cranecart.forwarding._gateway import RoutedGateway
from cranecart.forwarding._peer_gateway import PeerGateway
from cranecart.forwarding._peer_requests import PeersOfCall
from cranecart.forwarding._resume_guard import ResumeGuard
from cranecart.forwarding._sender import Sender, SuspicionReporter
from cranecart.forwarding._sse import EventSplitter
from cranecart.forwarding._startup import StartupGate
from cranecart.forwarding._stop_gate import SENDING_SECONDS

__all__ = (
    'SENDING_SECONDS',
    'CallForwarder',
    'PeerGateway',
    'PeersOfCall',
    'EventSplitter',
    'SuspicionReporter',
    'ResumeGuard',
    'RoutedCall',
    'RoutedGateway',
    'Sender',
    'StartupGate',
    'TargetConnectionPool',
)
