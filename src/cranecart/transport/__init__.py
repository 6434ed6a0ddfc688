"""Message transport between nodes, over ZeroMQ sockets."""

from cranecart.transport._zmq_transport import PeerTransport

__all__ = ('PeerTransport',)
