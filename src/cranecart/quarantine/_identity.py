"""Tell whether two tries are the same request; no I/O."""

import hashlib

# 2**64 requests before two of them are likely to be taken for one.
_DIGEST_BYTES = 16
# Hashed in front of each part, so that no two lists of parts look alike.
_LENGTH_BYTES = 8


def request_identity(
    organisation: str,
    host: str,
    method: str,
    target: str,
    body: bytes,
) -> str:
    """Return what all tries of one caller at one request have in common.

    Ids, deadlines, hints and the event to go on from differ between tries, and
    are left out. It is a digest: nothing of a caller's content is logged or
    sent to other nodes.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    named = (organisation, host.lower(), method, target)
    for part in (*(one.encode() for one in named), body):
        digest.update(len(part).to_bytes(_LENGTH_BYTES))
        digest.update(part)
    return digest.hexdigest()
