"""A target that sends surplus, late or partial responses, for tests."""

import enum
import socket
from collections import Counter
from collections.abc import Iterable

import attrs
import curio
import h11

from cranecart.http import Address

_READ_BYTES = 65536
_SURPLUS_DELAY_SECONDS = 0.004
_OK = 200
_TRUNCATED_BODY = b'of a body that never ends'


class NamedRequest(enum.Enum):
    """Which request id a surplus response carries."""

    ANSWERED = 'the request that was answered already'
    NONE = 'none'
    UNKNOWN = 'one that was never sent here'


class SurplusTiming(enum.Enum):
    """When a surplus response is sent."""

    SAME_WRITE = 'in one write with the own answer'
    DELAYED = 'a little after the own answer'
    BEFORE_NEXT = 'where the answer to the next request is due'


@attrs.frozen
class SurplusResponse:
    """A response without a request of its own.

    The connection is closed in the body of one that ``is_truncated``.
    """

    named_request: NamedRequest = NamedRequest.ANSWERED
    timing: SurplusTiming = SurplusTiming.SAME_WRITE
    status: int = _OK
    is_truncated: bool = False


@attrs.frozen
class ScriptedResponse:
    """How one request is answered.

    The regular response is sent in two parts, ``pause_seconds`` apart, if
    that is not zero.
    """

    surplus: tuple[SurplusResponse, ...] = ()
    pause_seconds: float = 0
    status: int = _OK


@attrs.frozen
class ResponseStyle:
    """The headers of a protocol's responses, with or without request id."""

    id_header: str = 'x-request-id'
    includes_id: bool = True
    extra_headers: tuple[tuple[str, str], ...] = ()

    def head(self, status: int, named_id: str, size: int) -> bytes:
        """Return the head of a response with a body of ``size`` bytes."""
        id_headers = (
            ((self.id_header, named_id),)
            if named_id and self.includes_id
            else ()
        )
        headers = (
            *id_headers,
            *self.extra_headers,
            ('content-length', str(size)),
        )
        header_text = ''.join(f'{name}: {value}\r\n' for name, value in headers)
        return f'HTTP/1.1 {status} X\r\n{header_text}\r\n'.encode()


def expected_body(request_id: str) -> bytes:
    """Return the body of the regular response to a request."""
    return f'the answer to {request_id}'.encode()


class ScriptedService:
    """A service that answers requests by a script, one response for each.

    After the end of the script it answers correctly. ``run_counts`` counts
    how often each request ran, ``connections`` the accepted connections, and
    ``active_responses`` the requests that are being answered.
    """

    def __init__(
        self,
        address: Address,
        style: ResponseStyle,
        responses: Iterable[ScriptedResponse] = (),
    ) -> None:
        """Listen; connections are accepted only in ``run``."""
        self.run_counts: Counter[str] = Counter()
        self.connections = 0
        self.active_responses = 0
        self._style = style
        self._responses = iter(responses)
        sock = socket.create_server((address.host, address.port))
        self._listener = curio.io.Socket(sock)

    @property
    def address(self) -> Address:
        """Return the listening address."""
        return Address(*self._listener.getsockname()[:2])

    async def run(self) -> None:
        """Serve connections until cancelled."""
        async with self._listener:
            while True:
                sock, _ = await self._listener.accept()
                self.connections += 1
                await curio.spawn(self._serve, sock, daemon=True)

    async def _serve(self, sock: curio.io.Socket) -> None:
        pending_surplus: tuple[SurplusResponse, ...] = ()
        previous_id = ''
        parser = h11.Connection(h11.SERVER)
        async with sock:
            while request_id := await self._receive(sock, parser):
                self.run_counts[request_id] += 1
                response = next(self._responses, ScriptedResponse())
                is_open = await self._send_surplus(
                    sock, pending_surplus, previous_id
                )
                if not is_open or not await self._answer(
                    sock, response, request_id
                ):
                    return
                pending_surplus = _surplus_at(
                    response, SurplusTiming.BEFORE_NEXT
                )
                previous_id = request_id
                parser = h11.Connection(h11.SERVER)

    async def _receive(
        self,
        sock: curio.io.Socket,
        parser: h11.Connection,
    ) -> str:
        """Return the id of the next request, or '' if the client closed."""
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
        response: ScriptedResponse,
        request_id: str,
    ) -> bool:
        """Answer a request; return whether the connection stays open."""
        self.active_responses += 1
        try:
            return await self._send_response(sock, response, request_id)
        finally:
            self.active_responses -= 1

    async def _send_response(
        self,
        sock: curio.io.Socket,
        response: ScriptedResponse,
        request_id: str,
    ) -> bool:
        body = expected_body(request_id)
        encoded = (
            self._style.head(response.status, request_id, len(body)) + body
        )
        if response.pause_seconds:
            await sock.sendall(encoded[: -len(body) // 2])
            await curio.sleep(response.pause_seconds)
            encoded = encoded[-len(body) // 2 :]
        same_write = _surplus_at(response, SurplusTiming.SAME_WRITE)
        surplus = [self._encode(extra, request_id) for extra in same_write]
        await sock.sendall(encoded + b''.join(surplus))
        if any(extra.is_truncated for extra in same_write):
            return False
        delayed = _surplus_at(response, SurplusTiming.DELAYED)
        if delayed:
            await curio.sleep(_SURPLUS_DELAY_SECONDS)
        return await self._send_surplus(sock, delayed, request_id)

    async def _send_surplus(
        self,
        sock: curio.io.Socket,
        surplus: tuple[SurplusResponse, ...],
        answered_id: str,
    ) -> bool:
        """Send surplus responses; return whether the connection stays open."""
        for extra in surplus:
            try:
                await sock.sendall(self._encode(extra, answered_id))
            except OSError:
                return False
            if extra.is_truncated:
                return False
        return True

    def _encode(self, surplus: SurplusResponse, answered_id: str) -> bytes:
        named_id = {
            NamedRequest.ANSWERED: answered_id,
            NamedRequest.NONE: '',
            NamedRequest.UNKNOWN: f'not-{answered_id}',
        }[surplus.named_request]
        body = _TRUNCATED_BODY if surplus.is_truncated else b'too many'
        size = len(body) + surplus.is_truncated
        return self._style.head(surplus.status, named_id, size) + body


def _surplus_at(
    response: ScriptedResponse, timing: SurplusTiming
) -> tuple[SurplusResponse, ...]:
    return tuple(extra for extra in response.surplus if extra.timing is timing)
