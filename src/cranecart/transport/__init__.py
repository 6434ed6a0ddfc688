"""Messages between nodes: one socket to hear all, one to speak to each."""

from cranecart.transport._zmq_transport import PeerTransport

__all__ = ('PeerTransport',)
