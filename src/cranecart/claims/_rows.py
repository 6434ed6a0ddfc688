"""Table rows of claims, and an index of them by minute of creation."""

import enum
import hashlib

import attrs
import msgspec

from cranecart.ports import Row
from cranecart.targets import Call, ServiceCall

# How long a repeated call gets the recorded response.
RETENTION_SECONDS = 86400
_BUCKET_SECONDS = 60


class ClaimState(enum.Enum):
    """What is known about a claimed call."""

    CLAIMED = 'claimed'
    DONE = 'done'
    NOT_RUN = 'not run'


@attrs.frozen
class Claim:
    """The node that may send a call, and the call's outcome.

    ``made_at`` is in seconds since the epoch and is used only for deleting old
    claims. ``status``, ``content_type`` and ``content`` are those of the recorded
    response. Rows of earlier versions have its text in ``body`` instead.
    """

    node: str
    nonce: str
    fingerprint: str
    state: ClaimState
    made_at: float = 0
    status: int = 0
    content_type: str = ''
    body: str = ''
    content: bytes = b''


def row_key(call: Call) -> str:
    """Return the key of a call's claim."""
    digest = hashlib.sha256(call.idempotency_key.encode()).hexdigest()
    return f'claim/{call.organisation}/{digest}'


def index_key(claim_key: str, made_at: float) -> str:
    """Return the key of the index row of a claim."""
    return f'{bucket_prefix(bucket_of(made_at))}{claim_key}'


def bucket_of(made_at: float) -> int:
    """Return the number of the minute in which a claim was created."""
    return int(made_at // _BUCKET_SECONDS)


def bucket_prefix(bucket: int) -> str:
    """Return the key prefix of a minute's index rows."""
    return f'claim-made/{bucket:010}/'


def fingerprint(call: Call) -> str:
    """Return a digest that differs for different calls with the same key."""
    path = call.path if isinstance(call, ServiceCall) else ''
    return hashlib.sha256(path.encode() + call.body).hexdigest()


def claim_to_value(claim: Claim) -> str:
    """Encode a claim as the value of its row."""
    return msgspec.json.encode(claim).decode()


def claim_from_row(row: Row) -> Claim:
    """Decode a claim from its row."""
    return msgspec.json.decode(row.value, type=Claim)
