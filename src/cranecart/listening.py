"""Open the client listener before the rest of the program is imported.

Imports take most of the first second on a small machine, and connections
without a listener are refused. Connections made meanwhile wait in the kernel's
backlog until the node can answer. Only light modules are imported here.
"""

import os
import socket

ADDRESS_VARIABLE = 'CRANECART_CLIENT_ADDRESS'
BACKLOG = 512

_opened: list[socket.socket] = []


def open_listener(host: str, port: int) -> socket.socket:
    """Bind and listen; raise ``OSError`` if the address is already in use."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, port))
    except OSError:
        sock.close()
        raise
    sock.listen(BACKLOG)
    return sock


def open_early() -> None:
    """Listen on the address in the environment, if it is set.

    Errors are ignored here and reported later, when the settings are read.
    """
    host, _, port = os.environ.get(ADDRESS_VARIABLE, '').rpartition(':')
    if not host or not port.isdecimal():
        return
    try:
        _opened.append(open_listener(host, int(port)))
    except OSError:
        return


def take_listener(host: str, port: int) -> socket.socket:
    """Return the listener that was opened early, or a new one.

    Raise ``OSError`` if the address is already in use.
    """
    while _opened:
        sock = _opened.pop()
        if sock.getsockname()[:2] == (host, port):
            return sock
        sock.close()
    return open_listener(host, port)
