"""Network paths from nodes to targets that a test can cut."""

import contextlib
import enum
import socket
import struct

import attrs
import curio

from cranecart.http import Address

_READ_BYTES = 65536
_POLL_SECONDS = 0.01
_BACKLOG = 128
# Connections that fill the queue of a listener with a backlog of zero.
_FILLERS = 4
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class Cut(enum.Enum):
    """How a path is cut.

    With ``HANG`` neither new nor open connections carry anything, with
    ``RESET`` both are reset, with ``REFUSE`` open ones go on, and with
    ``ONE_WAY`` nothing reaches the target, while it still reaches the node.
    """

    NONE = 'none'
    HANG = 'hang'
    RESET = 'reset'
    REFUSE = 'refuse'
    ONE_WAY = 'one way'


_REFUSING = frozenset((Cut.RESET, Cut.REFUSE))


class CuttablePath:
    """A TCP proxy between one node and one target."""

    def __init__(self, target: Address) -> None:
        """Reserve an address; connections are accepted in ``run``."""
        self._target = target
        self._cut = Cut.NONE
        self._listener = _listen(Address(target.host, 0), _BACKLOG)
        self.address = Address(*self._listener.getsockname()[:2])
        self._fillers: list[socket.socket] = []
        self._open: set[curio.io.Socket] = set()

    async def run(self) -> None:
        """Forward connections until cancelled."""
        try:
            while True:
                sock = self._accept()
                if sock is None:
                    await curio.sleep(_POLL_SECONDS)
                else:
                    await curio.spawn(self._forward, sock, daemon=True)
        finally:
            self._close_listener()

    async def cut(self, cut: Cut) -> None:
        """Cut the path, or restore it with ``Cut.NONE``."""
        self._cut = cut
        self._close_listener()
        if cut is Cut.RESET:
            for sock in list(self._open):
                _reset(sock)
        if cut not in _REFUSING:
            is_open = cut is Cut.NONE
            self._listener = _listen(self.address, _BACKLOG if is_open else 0)
            if not is_open:
                self._fillers = [self._fill() for _ in range(_FILLERS)]

    def _accept(self) -> curio.io.Socket | None:
        if self._cut is not Cut.NONE:
            return None
        try:
            sock, _peer = self._listener.accept()
        except BlockingIOError:
            return None
        return curio.io.Socket(sock)

    def _fill(self) -> socket.socket:
        """Occupy a place in the listener's queue, so that it answers nobody."""
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex((self.address.host, self.address.port))
        return filler

    def _close_listener(self) -> None:
        self._listener.close()
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()

    async def _forward(self, client: curio.io.Socket) -> None:
        try:
            upstream = await curio.open_connection(
                self._target.host, self._target.port
            )
        except OSError:
            await client.close()
            return
        self._open |= {client, upstream}
        with contextlib.suppress(OSError):
            async with curio.TaskGroup(wait=any) as pumps:
                await pumps.spawn(self._pump, client, upstream, True)
                await pumps.spawn(self._pump, upstream, client, False)
        self._open -= {client, upstream}
        await client.close()
        await upstream.close()

    async def _pump(
        self,
        source: curio.io.Socket,
        destination: curio.io.Socket,
        is_request: bool,
    ) -> None:
        while received := await source.recv(_READ_BYTES):
            while self._holds_back(is_request=is_request):
                await curio.sleep(_POLL_SECONDS)
            await destination.sendall(received)

    def _holds_back(self, *, is_request: bool) -> bool:
        return self._cut is Cut.HANG or (
            self._cut is Cut.ONE_WAY and is_request
        )


@attrs.define
class CuttablePaths:
    """The paths of one node to all targets, by the targets' addresses."""

    paths: dict[Address, CuttablePath] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Forward connections until cancelled."""
        async with curio.TaskGroup() as tasks:
            for path in self.paths.values():
                await tasks.spawn(path.run)

    def add(self, target: Address) -> None:
        """Add the path to a target."""
        self.paths[target] = CuttablePath(target)

    async def cut(self, cut: Cut) -> None:
        """Cut or restore all paths."""
        for path in self.paths.values():
            await path.cut(cut)

    def redirects(self) -> dict[str, str]:
        """Return the path's address by that of its target."""
        return {
            str(target): str(path.address)
            for target, path in self.paths.items()
        }


def _listen(address: Address, backlog: int) -> socket.socket:
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((address.host, address.port))
    listener.listen(backlog)
    listener.setblocking(False)
    return listener


def _reset(sock: curio.io.Socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    with contextlib.suppress(OSError):
        # Wakes the task that reads from it, which then closes the socket.
        sock._socket.shutdown(socket.SHUT_RD)
