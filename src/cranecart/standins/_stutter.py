"""Stand-in of a target that answers too often, too late or in parts."""

import enum
import socket
from collections import Counter
from collections.abc import Iterable

import attrs
import curio
import h11

from cranecart.http import Address

_READ_BYTES = 65536
_LATER_SECONDS = 0.004
_OK = 200
_CUT_BODY = b'of a body that never ends'


class Naming(enum.Enum):
    """Which request an answer too many names."""

    ITS_OWN = 'the request that was answered already'
    NOTHING = 'none'
    STRANGER = 'one that was never sent here'


class Moment(enum.Enum):
    """When an answer too many is sent."""

    AT_ONCE = 'in one write with the own answer'
    LATER = 'a little after the own answer'
    NEXT = 'where the answer to the next request is due'


@attrs.frozen
class ExtraAnswer:
    """One answer too many; one that ``is_cut`` ends with its connection."""

    naming: Naming = Naming.ITS_OWN
    moment: Moment = Moment.AT_ONCE
    status: int = _OK
    is_cut: bool = False


@attrs.frozen
class Turn:
    """How one request is answered.

    The own answer comes in two parts, ``pause_seconds`` apart, if that is
    not zero.
    """

    extras: tuple[ExtraAnswer, ...] = ()
    pause_seconds: float = 0
    status: int = _OK


@attrs.frozen
class AnswerStyle:
    """The headers in which a protocol's answers name their request, if so."""

    id_header: str = 'x-request-id'
    names: bool = True
    more: tuple[tuple[str, str], ...] = ()

    def head(self, status: int, named: str, size: int) -> bytes:
        """Return the head of an answer with a body of so many bytes."""
        names = ((self.id_header, named),) if named and self.names else ()
        lines = (*names, *self.more, ('content-length', str(size)))
        text = ''.join(f'{name}: {told}\r\n' for name, told in lines)
        return f'HTTP/1.1 {status} X\r\n{text}\r\n'.encode()


def own_body(request_id: str) -> bytes:
    """Return the body that answers a request, and no other."""
    return f'the answer to {request_id}'.encode()


class StutteringService:
    """A service that answers each request by the next of its turns.

    After the last turn it behaves. ``ran`` counts how often each request ran,
    ``connections`` those that were accepted, ``answering`` the requests whose
    turns go on.
    """

    def __init__(
        self,
        address: Address,
        style: AnswerStyle,
        turns: Iterable[Turn] = (),
    ) -> None:
        """Listen; nothing is accepted until ``run``."""
        self.ran: Counter[str] = Counter()
        self.connections = 0
        self.answering = 0
        self._style = style
        self._turns = iter(turns)
        sock = socket.create_server((address.host, address.port))
        self._listener = curio.io.Socket(sock)

    @property
    def address(self) -> Address:
        """Return where it listens."""
        return Address(*self._listener.getsockname()[:2])

    async def run(self) -> None:
        """Serve connections until cancelled."""
        async with self._listener:
            while True:
                sock, _ = await self._listener.accept()
                self.connections += 1
                await curio.spawn(self._serve, sock, daemon=True)

    async def _serve(self, sock: curio.io.Socket) -> None:
        owed: tuple[ExtraAnswer, ...] = ()
        earlier = ''
        parser = h11.Connection(h11.SERVER)
        async with sock:
            while request_id := await self._receive(sock, parser):
                self.ran[request_id] += 1
                turn = next(self._turns, Turn())
                is_whole = await self._send(sock, owed, earlier)
                if not is_whole or not await self._answer(
                    sock, turn, request_id
                ):
                    return
                owed = _at(turn, Moment.NEXT)
                earlier = request_id
                parser = h11.Connection(h11.SERVER)

    async def _receive(
        self,
        sock: curio.io.Socket,
        parser: h11.Connection,
    ) -> str:
        """Return the id of the next request; nothing once the client left."""
        request_id = ''
        event = parser.next_event()
        while not isinstance(event, h11.EndOfMessage):
            if isinstance(event, h11.Request):
                headers = dict(event.headers)
                request_id = headers[self._style.id_header.encode()].decode()
            if event is h11.NEED_DATA:
                try:
                    received = await sock.recv(_READ_BYTES)
                except OSError:
                    return ''
                if not received:
                    return ''
                parser.receive_data(received)
            event = parser.next_event()
        return request_id

    async def _answer(
        self,
        sock: curio.io.Socket,
        turn: Turn,
        request_id: str,
    ) -> bool:
        """Answer a request; return whether the connection goes on."""
        self.answering += 1
        try:
            return await self._take_turn(sock, turn, request_id)
        finally:
            self.answering -= 1

    async def _take_turn(
        self,
        sock: curio.io.Socket,
        turn: Turn,
        request_id: str,
    ) -> bool:
        body = own_body(request_id)
        whole = self._style.head(turn.status, request_id, len(body)) + body
        if turn.pause_seconds:
            await sock.sendall(whole[: -len(body) // 2])
            await curio.sleep(turn.pause_seconds)
            whole = whole[-len(body) // 2 :]
        at_once = _at(turn, Moment.AT_ONCE)
        extras = [self._encode(one, request_id) for one in at_once]
        await sock.sendall(whole + b''.join(extras))
        if any(one.is_cut for one in at_once):
            return False
        later = _at(turn, Moment.LATER)
        if later:
            await curio.sleep(_LATER_SECONDS)
        return await self._send(sock, later, request_id)

    async def _send(
        self,
        sock: curio.io.Socket,
        extras: tuple[ExtraAnswer, ...],
        answered_id: str,
    ) -> bool:
        """Send answers too many; return whether the connection goes on."""
        for one in extras:
            try:
                await sock.sendall(self._encode(one, answered_id))
            except OSError:
                return False
            if one.is_cut:
                return False
        return True

    def _encode(self, extra: ExtraAnswer, answered_id: str) -> bytes:
        named = {
            Naming.ITS_OWN: answered_id,
            Naming.NOTHING: '',
            Naming.STRANGER: f'not-{answered_id}',
        }[extra.naming]
        body = _CUT_BODY if extra.is_cut else b'too many'
        size = len(body) + extra.is_cut
        return self._style.head(extra.status, named, size) + body


def _at(turn: Turn, moment: Moment) -> tuple[ExtraAnswer, ...]:
    return tuple(one for one in turn.extras if one.moment is moment)
