"""The requests that a server is receiving."""

import contextlib
import socket

import attrs
import curio
import h11

from cranecart.clocks import since_boot
from cranecart.http._limits import ServerLimits
from cranecart.http._messages import Request
from cranecart.http._partial import AdmitHead
from cranecart.http._request_memory import HeldRequest
from cranecart.http._request_reader import RequestSource, receive_request
from cranecart.http._turns import ReadingPace

# Far longer than the parts of a request are apart, far less than one may take.
_STALLED_SECONDS = 1.0
# How many connections are closed at a time, of those that are receiving.
_CLOSED_FRACTION = 0.03


@attrs.define
class ReceivingRequests:
    """Receives requests and knows which of them make no progress."""

    _pace: ReadingPace = attrs.field(factory=ReadingPace, init=False)
    _sources: dict[RequestSource, None] = attrs.field(factory=dict, init=False)

    async def receive(
        self,
        sock: curio.io.Socket,
        connection: h11.Connection,
        held: HeldRequest,
        limits: ServerLimits,
        admits: AdmitHead,
    ) -> Request:
        """Receive a request; raise as ``receive_request`` does."""
        source = RequestSource(sock, connection, held, self._pace)
        self._sources[source] = None
        try:
            return await receive_request(source, limits, admits)
        finally:
            self._sources.pop(source, None)

    async def close_stalled(self) -> bool:
        """Close some connections that have sent nothing for longest.

        Return whether there were any.
        """
        earliest = since_boot() - _STALLED_SECONDS
        count = max(1, int(len(self._sources) * _CLOSED_FRACTION))
        stalled = sorted(
            (each for each in self._sources if each.held.grown_at < earliest),
            key=lambda each: each.held.grown_at,
        )
        for source in stalled[:count]:
            self._sources.pop(source, None)
            with contextlib.suppress(OSError):
                await source.sock.shutdown(socket.SHUT_RDWR)
        return bool(stalled)
