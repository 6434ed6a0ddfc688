"""Assign subjects to nodes by rendezvous hashing, without coordination."""

import hashlib
from collections.abc import Iterable

_DIGEST_BYTES = 8


def choose_nodes(subject: str, nodes: Iterable[str], count: int) -> list[str]:
    """Return the nodes responsible for a subject, by rendezvous hashing.

    When a node joins or leaves, only the subjects assigned to it move.
    """
    return sorted(nodes, key=lambda node: _score(subject, node))[:count]


def _score(subject: str, node: str) -> bytes:
    return hashlib.blake2b(
        f'{subject}|{node}'.encode(),
        digest_size=_DIGEST_BYTES,
    ).digest()
