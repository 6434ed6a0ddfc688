"""Resource limits of the server."""

import attrs

# Size of reads from a connection, for client and server.
READ_BYTES = 65536


@attrs.frozen
class ServerLimits:
    """Limits on the memory and time that clients can take up.

    ``head_bytes`` and ``body_bytes`` apply to a request, ``receive_seconds`` to
    receiving it, ``idle_seconds`` to waiting for the next one,
    ``write_seconds`` to each write of a response but its body's chunks, and
    ``connections`` is the number of connections served at a time.
    ``unread_bytes`` bounds the memory held for all clients that do not read;
    without it there is no bound.
    """

    head_bytes: int = 16384
    body_bytes: int = 1048576
    receive_seconds: float = 10.0
    idle_seconds: float = 60.0
    write_seconds: float = 30.0
    connections: int = 4096
    unread_bytes: float | None = None
