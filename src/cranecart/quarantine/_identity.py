"""Identify the retries of one request; no I/O."""

import hashlib

# Collisions become likely only after 2**64 requests.
_DIGEST_BYTES = 16
# The length of each part is hashed before it, so that different lists of parts
# never produce the same input.
_LENGTH_BYTES = 8


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
