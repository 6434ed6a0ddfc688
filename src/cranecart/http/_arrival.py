"""How long received data has waited in a socket."""

import socket
import struct

import curio

_MILLISECONDS = 1000
# The beginning of Linux's struct tcp_info, up to tcpi_last_data_recv.
_TCP_INFO = struct.Struct('=52xI')


def seconds_unread(sock: curio.io.Socket) -> float:
    """Return how long ago the latest data of a socket arrived.

    A process that was stopped reads requests long after they were sent. The
    result is 0 if the kernel does not tell.
    """
    try:
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size
        )
    except OSError:
        return 0
    if len(info) < _TCP_INFO.size:
        return 0
    return _TCP_INFO.unpack(info)[0] / _MILLISECONDS
