"""Listen for clients before anything else of the program is loaded.

Loading takes most of a small machine's first second, and what finds no
listener is refused and lost. Connections made meanwhile wait in the kernel's
queue, and are answered as soon as the node can. Nothing heavier than sockets
is imported here.
"""

import os
import socket

ADDRESS_VARIABLE = 'CRANECART_CLIENT_ADDRESS'
BACKLOG = 512

_opened: list[socket.socket] = []


def open_listener(host: str, port: int) -> socket.socket:
    """Bind and listen; raise ``OSError`` if the address is taken."""
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
    """Listen at the address in the environment, if there is one.

    What is wrong with it is told later, when the settings are read.
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

    Raise ``OSError`` if the address is taken.
    """
    while _opened:
        sock = _opened.pop()
        if sock.getsockname()[:2] == (host, port):
            return sock
        sock.close()
    return open_listener(host, port)
