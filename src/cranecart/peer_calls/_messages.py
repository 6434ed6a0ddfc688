"""What nodes say to each other about client requests that they pass on."""

import msgspec

from cranecart.exceptions import Execution
from cranecart.http import HeaderLines, Request, ResponseHead

PATH = '/requests'
# Each response has this header. Those of targets are passed on with all headers
# that the client gets, but never with one of this name.
OUTCOME_HEADER = 'cranecart-outcome'
_POST = 'POST'


class PeerRequest(msgspec.Struct, array_like=True):
    """A client's request, and how far the sender has come with it.

    ``service`` is one that the route sends to. ``seconds_left`` is the time
    until the deadline, ``elapsed_seconds`` that since the client's first
    attempt, of which it had been retrying for ``retrying_seconds``.
    ``attempts_left`` is how many targets may still be sent the request, and
    ``tried`` names those that were tried. A stream ``has_begun`` once an event
    was received, and continues after the event ``resume_after``. The peer makes
    one attempt, and asks with ``call_id`` at ``grant_address`` before each other.
    """

    sender: str
    method: str
    target: str
    header_lines: HeaderLines
    body: bytes
    service: str
    seconds_left: float
    elapsed_seconds: float
    retrying_seconds: float
    attempts_left: int
    tried: list[str] = []
    resume_after: str = ''
    has_begun: bool = False
    call_id: str = ''
    grant_address: str = ''

    def update_times(self, seconds_left: float) -> None:
        """Set the times to those of now, when so much is left."""
        self.elapsed_seconds += self.seconds_left - seconds_left
        self.seconds_left = seconds_left

    def to_request(self) -> Request:
        """Return the client's request."""
        return Request(
            self.method,
            self.target,
            dict(self.header_lines),
            self.body,
            self.header_lines,
        )


class PeerOutcome(msgspec.Struct, array_like=True):
    """Who made a response, and what has become of the request.

    It is passed on ``from_target``, or the peer made it itself: then it has
    what a client of the peer would get. Where the peer is ``unable`` to handle
    the request, others may be able to; if ``is_general``, it handles no other
    requests either. ``able`` names some nodes that serve requests to the service,
    with the seconds since that was known. ``refused_by`` are the targets at which
    the request has arrived and that have refused it.
    """

    from_target: bool
    status: int = 0
    code: str = ''
    message: str = ''
    execution: Execution = Execution.NOT_RUN
    unable: bool = False
    is_general: bool = False
    retry_after: float | None = None
    able: dict[str, float] = {}
    refused_by: list[str] = []

    def to_header(self) -> tuple[str, str]:
        """Return the header line of a response."""
        return OUTCOME_HEADER, msgspec.json.encode(self).decode('latin-1')


def encode_peer_request(message: PeerRequest) -> Request:
    """Return the request that carries a message to a peer."""
    return Request(
        _POST,
        PATH,
        {'content-type': 'application/msgpack'},
        msgspec.msgpack.encode(message),
    )


def decode_peer_request(request: Request) -> PeerRequest:
    """Return the message that a request carries.

    Raise ``msgspec.MsgspecError`` if it carries none.
    """
    return msgspec.msgpack.decode(request.body, type=PeerRequest)


def outcome_of(head: ResponseHead) -> PeerOutcome | None:
    """Return the outcome in a response's head, None if it has none."""
    text = head.headers.get(OUTCOME_HEADER, '')
    try:
        return msgspec.json.decode(text.encode('latin-1'), type=PeerOutcome)
    except msgspec.MsgspecError:
        return None


def without_outcome(header_lines: HeaderLines) -> HeaderLines:
    """Return the header lines except for that of the outcome."""
    return tuple(line for line in header_lines if line[0] != OUTCOME_HEADER)
