"""The rows of claims, and an index of them by the minute they were made."""

import enum
import hashlib

import attrs
import msgspec

from cranecart.ports import Row
from cranecart.targets import Call, ServiceCall

# How long a repeat of a call hears what became of it.
RETENTION_SECONDS = 86400
_BUCKET_SECONDS = 60


class ClaimState(enum.Enum):
    """What is known of a claimed call."""

    CLAIMED = 'claimed'
    DONE = 'done'
    NOT_RUN = 'not run'


@attrs.frozen
class Claim:
    """Who may send a call, and what came of it.

    ``made_at`` is in seconds since the epoch and serves only for sweeping.
    """

    node: str
    nonce: str
    fingerprint: str
    state: ClaimState
    made_at: float = 0
    status: int = 0
    content_type: str = ''
    body: str = ''


def row_key(call: Call) -> str:
    """Return the key of a call's claim."""
    digest = hashlib.sha256(call.idempotency_key.encode()).hexdigest()
    return f'claim/{call.organisation}/{digest}'


def index_key(claim_key: str, made_at: float) -> str:
    """Return the key of the index row of a claim."""
    return f'{bucket_prefix(bucket_of(made_at))}{claim_key}'


def bucket_of(made_at: float) -> int:
    """Return the number of the minute in which a claim was made."""
    return int(made_at // _BUCKET_SECONDS)


def bucket_prefix(bucket: int) -> str:
    """Return the prefix of a minute's index rows."""
    return f'claim-made/{bucket:010}/'


def fingerprint(call: Call) -> str:
    """Return what tells a call from others under the same key."""
    path = call.path if isinstance(call, ServiceCall) else ''
    return hashlib.sha256(path.encode() + call.body).hexdigest()


def encode_claim(claim: Claim) -> str:
    """Write a claim as a row's value."""
    return msgspec.json.encode(claim).decode()


def decode_claim(row: Row) -> Claim:
    """Read a claim from a row."""
    return msgspec.json.decode(row.value, type=Claim)
