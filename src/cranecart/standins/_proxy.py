"""A TCP proxy that injects faults between any two processes."""

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
    """What is wrong with a link now.

    ``cut`` refuses connections and breaks the open ones; ``freeze_up`` and
    ``freeze_down`` hold back all bytes towards or from the upstream, and
    ``drop_after_up_bytes`` breaks a connection once so many bytes went up.
    The first ``mute_first`` connections carry nothing any more, and are not
    broken, while later ones work.
    """

    cut: bool = False
    freeze_up: bool = False
    freeze_down: bool = False
    delay_ms: int = 0
    drop_after_up_bytes: int = 0
    drop_answer: bool = False
    mute_first: int = 0


class FaultProxy:
    """Forwards one address to another, as well as its faults allow."""

    def __init__(
        self,
        listen: Address,
        upstream: Address,
        control: Address,
    ) -> None:
        """Keep the addresses; nothing listens until ``run``."""
        self.faults = LinkFaults()
        self.server = HttpServer(control, self._control)
        self._upstream = upstream
        self._links = 0
        self._listener = curio.io.Socket(socket.socket())
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((listen.host, listen.port))
        self._listener.listen(_BACKLOG)

    @property
    def address(self) -> Address:
        """Return the address that stands for the upstream."""
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
            await curio.spawn(self._link, sock, daemon=True)

    async def _link(self, down: curio.io.Socket) -> None:
        if self.faults.cut:
            await down.close()
            return
        try:
            up = await curio.open_connection(
                self._upstream.host,
                self._upstream.port,
            )
        except OSError:
            await down.close()
            return
        with contextlib.suppress(OSError):
            async with curio.TaskGroup(wait=any) as pumps:
                number = self._links
                self._links += 1
                await pumps.spawn(self._pump, down, up, 'freeze_up', number)
                await pumps.spawn(self._pump, up, down, 'freeze_down', number)
                await pumps.spawn(self._until_cut)
        await down.close()
        await up.close()

    async def _until_cut(self) -> None:
        while not self.faults.cut:
            await curio.sleep(_POLL_SECONDS)

    async def _pump(
        self,
        source: curio.io.Socket,
        sink: curio.io.Socket,
        freeze: str,
        number: int,
    ) -> None:
        goes_up = freeze == 'freeze_up'
        sent = 0
        while received := await source.recv(_READ_BYTES):
            await self._hold_back(freeze, number)
            if self.faults.drop_answer and not goes_up:
                return
            await sink.sendall(received)
            sent += len(received)
            if goes_up and self._is_over(sent):
                return

    def _is_over(self, sent: int) -> bool:
        limit = self.faults.drop_after_up_bytes
        return bool(limit) and sent >= limit

    async def _hold_back(self, freeze: str, number: int) -> None:
        while getattr(self.faults, freeze) or number < self.faults.mute_first:
            await curio.sleep(_POLL_SECONDS)
        await curio.sleep(self.faults.delay_ms / _MILLISECONDS)
