"""HTTP messages as typed data, apart from any I/O."""

from collections.abc import Iterable, Mapping
from typing import Self
from urllib.parse import parse_qsl, urlsplit

import attrs
import msgspec

_JSON = 'application/json'

Headers = Mapping[str, str]

# Header lines in order, also repeated ones; names are in lower case.
HeaderLines = tuple[tuple[str, str], ...]


@attrs.frozen
class Address:
    """An IP number and a TCP port."""

    host: str
    port: int

    @classmethod
    def from_text(cls, text: str) -> Self:
        """Read ``host:port``; raise ``ValueError`` for anything else."""
        host, _, port = text.rpartition(':')
        if not host:
            raise ValueError(f'{text!r} is not of the form host:port')
        return cls(host, int(port))

    def __str__(self) -> str:
        """Write the address as ``host:port``."""
        return f'{self.host}:{self.port}'


@attrs.frozen
class Request:
    """A whole request; header names are in lower case.

    ``lines`` holds the headers for passing them on; if there are any, they
    are sent in place of ``headers``.
    """

    method: str
    target: str
    headers: Headers = attrs.field(factory=dict)
    body: bytes = b''
    header_lines: HeaderLines = ()

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return urlsplit(self.target).path

    @property
    def query(self) -> dict[str, str]:
        """Return the query's parameters, the last of each name."""
        return dict(parse_qsl(urlsplit(self.target).query))


@attrs.frozen
class ResponseHead:
    """Status and headers of a response; header names are in lower case."""

    status: int
    headers: Headers = attrs.field(factory=dict)
    header_lines: HeaderLines = ()

    @property
    def is_success(self) -> bool:
        """Tell whether the status is of the 2xx class."""
        return self.status // 100 == 2


@attrs.frozen
class Response:
    """A whole response; ``lines``, if any, are sent instead of ``headers``."""

    status: int
    headers: Headers = attrs.field(factory=dict)
    body: bytes = b''
    header_lines: HeaderLines = ()

    @property
    def is_success(self) -> bool:
        """Tell whether the status is of the 2xx class."""
        return self.status // 100 == 2


def json_response(
    status: int,
    body: object,
    headers: Headers | None = None,
) -> Response:
    """Build a response whose body is JSON."""
    return Response(
        status,
        {'content-type': _JSON, **(headers or {})},
        msgspec.json.encode(body),
    )


def decode_headers(raw: Iterable[tuple[bytes, bytes]]) -> HeaderLines:
    """Turn h11's header pairs into text."""
    return tuple(
        (name.decode('ascii').lower(), text.decode('latin-1'))
        for name, text in raw
    )


def encode_headers(
    headers: Headers | HeaderLines,
) -> list[tuple[bytes, bytes]]:
    """Turn text headers into h11's pairs."""
    header_lines = headers.items() if isinstance(headers, Mapping) else headers
    return [
        (name.encode('ascii'), text.encode('latin-1'))
        for name, text in header_lines
    ]
