"""Minimal TCP relay: a lower bound for the cost of relaying with curio.

Usage: python -m tools.pump LISTEN_ADDRESS UPSTREAM_ADDRESS
"""

import sys

import curio

from cranecart.http import Address

_READ_BYTES = 65536


async def copy_bytes(source: curio.io.Socket, sink: curio.io.Socket) -> None:
    """Copy bytes until the source ends."""
    while received := await source.recv(_READ_BYTES):
        await sink.sendall(received)


async def serve(listen: Address, upstream: Address) -> None:
    """Relay each connection to the upstream."""

    async def relay(client: curio.io.Socket, _peer: object) -> None:  # noqa: WPS430
        upstream_socket = await curio.open_connection(
            upstream.host, upstream.port
        )
        async with curio.TaskGroup(wait=any) as copy_tasks:
            await copy_tasks.spawn(copy_bytes, client, upstream_socket)
            await copy_tasks.spawn(copy_bytes, upstream_socket, client)
        await upstream_socket.close()

    await curio.tcp_server(listen.host, listen.port, relay)


if __name__ == '__main__':
    curio.run(serve, *map(Address.from_text, sys.argv[1:]))
