"""Reset connections instead of closing them."""

import contextlib
import socket
import struct

import curio

# On, and zero seconds.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


def reset_on_close(sock: curio.io.Socket) -> None:
    """Let closing discard what the other side has not received.

    Otherwise the kernel keeps it, and goes on sending it, for minutes.
    """
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
