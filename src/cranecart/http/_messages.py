"""HTTP messages as plain data, independent of I/O."""

import ipaddress
import re
from collections.abc import Iterable, Mapping
from typing import Self
from urllib.parse import parse_qsl

import attrs
import msgspec

from cranecart.clocks import since_boot
from cranecart.http._request_target import path_of, query_of

_JSON = 'application/json'
_PORT = re.compile(r'\d{1,5}', re.ASCII)
_MAX_PORT = 65535

Headers = Mapping[str, str]

# Headers in order, including repeated ones; names are in lower case.
HeaderLines = tuple[tuple[str, str], ...]


@attrs.frozen
class Address:
    """An IP address and a TCP port."""

    host: str
    port: int

    @classmethod
    def from_text(cls, text: str) -> Self:
        """Parse ``host:port``; raise ``ValueError`` for anything else."""
        host, _, port = text.rpartition(':')
        if not host or not _PORT.fullmatch(port):
            raise ValueError(f'{text!r} is not of the form host:port')
        address = cls(host, int(port))
        if address.port > _MAX_PORT:
            raise ValueError(f'invalid port in the address {text!r}')
        return address

    @classmethod
    def from_listed(cls, text: str) -> Self:
        """Parse the address at which another process says that it listens.

        Raise ``ValueError`` if it is no IP address with a port.
        """
        address = cls.from_text(text)
        ipaddress.ip_address(address.host)
        if not address.port:
            raise ValueError(f'invalid port in the address {text!r}')
        return address

    def __str__(self) -> str:
        """Format the address as ``host:port``."""
        return f'{self.host}:{self.port}'


@attrs.frozen
class Request:
    """A complete request; header names are in lower case.

    ``header_lines`` keeps order and repetitions for forwarding; if it is not
    empty, it is sent instead of ``headers``. ``arrived_at`` is when the first
    bytes of a received request arrived, as a time of ``since_boot``, and
    ``unread_seconds`` how long they waited until they were read. One that
    ``is_partial`` has no body, as it was not read, and must not be run.
    """

    method: str
    target: str
    headers: Headers = attrs.field(factory=dict)
    body: bytes = b''
    header_lines: HeaderLines = ()
    arrived_at: float = attrs.field(factory=since_boot, eq=False, kw_only=True)
    unread_seconds: float = attrs.field(default=0, eq=False, kw_only=True)
    is_partial: bool = attrs.field(default=False, kw_only=True)

    @property
    def is_head(self) -> bool:
        """Return whether the response to this request has no body."""
        return self.method == 'HEAD'

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return path_of(self.target)

    @property
    def query(self) -> dict[str, str]:
        """Return the query parameters, with the last value of each name."""
        return dict(parse_qsl(query_of(self.target)))


@attrs.frozen
class ResponseHead:
    """Status and headers of a response; header names are in lower case."""

    status: int
    headers: Headers = attrs.field(factory=dict)
    header_lines: HeaderLines = ()

    @property
    def is_framed(self) -> bool:
        """Return whether the body's end differs from that of the connection."""
        return (
            'content-length' in self.headers
            or 'transfer-encoding' in self.headers
        )

    @property
    def is_success(self) -> bool:
        """Return whether the status is in the 2xx class."""
        return self.status // 100 == 2


@attrs.frozen
class Response:
    """A complete response.

    If ``header_lines`` is not empty, it is sent instead of ``headers``. In a
    response to HEAD ``declared_length`` is sent as the length, if it is given.
    """

    status: int
    headers: Headers = attrs.field(factory=dict)
    body: bytes = b''
    header_lines: HeaderLines = ()
    declared_length: str = ''

    @property
    def is_success(self) -> bool:
        """Return whether the status is in the 2xx class."""
        return self.status // 100 == 2


def json_response(
    status: int,
    body: object,
    headers: Headers | None = None,
) -> Response:
    """Build a response with a JSON body."""
    return Response(
        status,
        {'content-type': _JSON, **(headers or {})},
        msgspec.json.encode(body),
    )


def decode_headers(raw: Iterable[tuple[bytes, bytes]]) -> HeaderLines:
    """Decode header pairs of h11."""
    return tuple(
        (name.decode('ascii').lower(), text.decode('latin-1'))
        for name, text in raw
    )


def encode_headers(
    headers: Headers | HeaderLines,
) -> list[tuple[bytes, bytes]]:
    """Encode headers as pairs for h11."""
    header_lines = headers.items() if isinstance(headers, Mapping) else headers
    return [
        (name.encode('ascii'), text.encode('latin-1'))
        for name, text in header_lines
    ]
