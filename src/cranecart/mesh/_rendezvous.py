"""Rank nodes for a target, so that all agree without a message.

Rendezvous hashing: a node that comes or goes changes only the targets that it
comes first for.
"""

import functools
import hashlib
import heapq
from collections.abc import Collection

from cranecart.mesh._state import MeshState

_DIGEST_BYTES = 8
# Names of nodes by targets whose ranks are kept, as each is asked for anew
# several times a second.
_MOST_KEPT = 65536


def sharing_node_count(
    state: MeshState,
    failure_domain: str,
    name: str,
    most: int,
) -> int:
    """Return how many nodes share a target, 0 if this one does not.

    So many ``most`` do that come first in a ranking that is the same at all
    nodes. Nodes of the target's failure domain do, as far as any is heard; bytes
    between failure domains are paid for, and a node that is cut off from them
    cannot know who sends.
    """
    local = state.local
    if local.stopping:
        return 0
    domains = state.roster.live_domains()
    home = failure_domain
    if home not in domains:
        home = top_ranked_names(domains, name, 1)[0]
    if home != local.failure_domain:
        return 0
    chosen = top_ranked_names(state.roster.live_beside(), name, most)
    return len(chosen) if local.node_id in chosen else 0


def top_ranked_names(
    names: Collection[str],
    target: str,
    most: int,
) -> list[str]:
    """Return the first names of the ranking for a target."""
    return heapq.nsmallest(most, names, key=lambda one: _rank(one, target))


@functools.lru_cache(_MOST_KEPT)
def _rank(name: str, target: str) -> bytes:
    text = f'{name}\0{target}'.encode()
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()
