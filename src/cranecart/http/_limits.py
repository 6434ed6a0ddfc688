"""What one client may make a server hold or wait for."""

import attrs

# What is read from a connection at a time, on both sides.
READ_BYTES = 65536


@attrs.frozen
class ServerLimits:
    """Bounds on what one client can make the server hold or wait for."""

    head_bytes: int = 16384
    body_bytes: int = 1048576
    receive_seconds: float = 10.0
    idle_seconds: float = 60.0
    write_seconds: float = 30.0
    connections: int = 4096
