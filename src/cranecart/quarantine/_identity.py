"""Identify the retries of one request, and the segments of prompts; no I/O."""

import functools
import hashlib
from collections.abc import Iterable

# Collisions become likely only after 2**64 requests.
_DIGEST_BYTES = 16
# The length of each part is hashed before it, so that different lists of parts
# never produce the same input.
_LENGTH_BYTES = 8
_SEGMENT_PREFIX = 'segment-'
# Those of the requests in flight, several each.
_CACHED_SEGMENTS = 4096


def request_identity(
    organisation: str,
    host: str,
    method: str,
    target: str,
    body: bytes,
) -> str:
    """Return a digest that is equal for all retries of a caller's request.

    Ids, deadlines, hints and resume positions differ between retries and are
    left out. The identity is a digest, so that no content of a caller is
    logged or sent to other nodes.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    parts = (organisation, host.lower(), method, target)
    for part in (*(text.encode() for text in parts), body):
        digest.update(len(part).to_bytes(_LENGTH_BYTES))
        digest.update(part)
    return digest.hexdigest()


@functools.lru_cache(_CACHED_SEGMENTS)
def segment_identity(segment: str) -> str:
    """Return the identity of a prompt segment that requests share.

    It is a digest, as segments are named by callers in any length.
    """
    digest = hashlib.blake2b(segment.encode(), digest_size=_DIGEST_BYTES)
    return _SEGMENT_PREFIX + digest.hexdigest()


def segment_identities(segments: Iterable[str]) -> tuple[str, ...]:
    """Return the identities of prompt segments, in order."""
    return tuple(map(segment_identity, segments))


def is_segment(identity: str) -> bool:
    """Return whether an identity is that of a prompt segment."""
    return identity.startswith(_SEGMENT_PREFIX)
