"""A TCP proxy that injects faults into connections."""

import contextlib
import socket

import attrs
import curio
import msgspec

from cranecart.http import (
    Address,
    HttpServer,
    Request,
    Responder,
    json_response,
)

_OK = 200
_READ_BYTES = 65536
_BACKLOG = 256
_POLL_SECONDS = 0.05
_MILLISECONDS = 1000


@attrs.frozen
class LinkFaults:
    """The injected faults.

    ``cut`` closes new and open connections. ``freeze_up`` and ``freeze_down``
    delay all bytes to or from the upstream until they are reset; ``delay_ms``
    delays each read. ``drop_after_up_bytes`` closes a connection after that
    many bytes to the upstream, ``drop_answer`` at the first bytes from it.
    The first ``mute_first`` connections stay open but transfer nothing, while
    later ones work.
    """

    cut: bool = False
    freeze_up: bool = False
    freeze_down: bool = False
    delay_ms: int = 0
    drop_after_up_bytes: int = 0
    drop_answer: bool = False
    mute_first: int = 0


class FaultProxy:
    """Forwards connections to the upstream, subject to the faults."""

    def __init__(
        self,
        listen: Address,
        upstream: Address,
        control: Address,
    ) -> None:
        """Bind the listening socket; connections are accepted in ``run``."""
        self.faults = LinkFaults()
        self.server = HttpServer(control, self._control)
        self._upstream = upstream
        self._connection_count = 0
        self._listener = curio.io.Socket(socket.socket())
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((listen.host, listen.port))
        self._listener.listen(_BACKLOG)

    @property
    def address(self) -> Address:
        """Return the address on which the proxy listens."""
        return Address(*self._listener.getsockname()[:2])

    async def run(self) -> None:
        """Forward until cancelled."""
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(self.server.run)
            await tasks.spawn(self._accept)

    async def _control(self, request: Request, responder: Responder) -> None:
        self.faults = msgspec.json.decode(request.body, type=LinkFaults)
        await responder.send(json_response(_OK, {}))

    async def _accept(self) -> None:
        while True:
            sock, _peer = await self._listener.accept()
            await curio.spawn(self._forward, sock, daemon=True)

    async def _forward(self, client: curio.io.Socket) -> None:
        if self.faults.cut:
            await client.close()
            return
        try:
            upstream = await curio.open_connection(
                self._upstream.host,
                self._upstream.port,
            )
        except OSError:
            await client.close()
            return
        with contextlib.suppress(OSError):
            async with curio.TaskGroup(wait=any) as pumps:
                connection_number = self._connection_count
                self._connection_count += 1
                await pumps.spawn(
                    self._pump, client, upstream, 'freeze_up', connection_number
                )
                await pumps.spawn(
                    self._pump,
                    upstream,
                    client,
                    'freeze_down',
                    connection_number,
                )
                await pumps.spawn(self._wait_until_cut)
        await client.close()
        await upstream.close()

    async def _wait_until_cut(self) -> None:
        while not self.faults.cut:
            await curio.sleep(_POLL_SECONDS)

    async def _pump(
        self,
        source: curio.io.Socket,
        destination: curio.io.Socket,
        freeze: str,
        connection_number: int,
    ) -> None:
        is_upstream = freeze == 'freeze_up'
        sent = 0
        while received := await source.recv(_READ_BYTES):
            await self._delay(freeze, connection_number)
            if self.faults.drop_answer and not is_upstream:
                return
            await destination.sendall(received)
            sent += len(received)
            if is_upstream and self._reached_drop_limit(sent):
                return

    def _reached_drop_limit(self, sent: int) -> bool:
        limit = self.faults.drop_after_up_bytes
        return bool(limit) and sent >= limit

    async def _delay(self, freeze: str, connection_number: int) -> None:
        while (
            getattr(self.faults, freeze)
            or connection_number < self.faults.mute_first
        ):
            await curio.sleep(_POLL_SECONDS)
        await curio.sleep(self.faults.delay_ms / _MILLISECONDS)
