"""A bare byte pump: the least that a relay in curio can cost.

Usage: python -m tools.pump LISTEN_ADDRESS UPSTREAM_ADDRESS
"""

import sys

import curio

from cranecart.http import Address

_READ_BYTES = 65536


async def pump(source: curio.io.Socket, sink: curio.io.Socket) -> None:
    """Copy bytes until the source ends."""
    while received := await source.recv(_READ_BYTES):
        await sink.sendall(received)


async def serve(listen: Address, upstream: Address) -> None:
    """Join each connection with one to the upstream."""

    async def join(down: curio.io.Socket, _peer: object) -> None:  # noqa: WPS430
        up = await curio.open_connection(upstream.host, upstream.port)
        async with curio.TaskGroup(wait=any) as pumps:
            await pumps.spawn(pump, down, up)
            await pumps.spawn(pump, up, down)
        await up.close()

    await curio.tcp_server(listen.host, listen.port, join)


if __name__ == '__main__':
    curio.run(serve, *map(Address.from_text, sys.argv[1:]))
