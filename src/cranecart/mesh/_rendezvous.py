"""Choose the nodes that send to a target, by rendezvous hashing.

All nodes agree on the choice without coordination, and a node that joins or
leaves changes only the targets for which it ranks among the first.
"""

import functools
import hashlib
import heapq
from collections.abc import Collection

from cranecart.mesh._state import MeshState

_DIGEST_BYTES = 8
# Cached pairs of node and target; each is looked up several times a second.
_SCORE_CACHE_SIZE = 65536


def sharing_node_count(
    state: MeshState,
    failure_domain: str,
    target: str,
    limit: int,
) -> int:
    """Return how many nodes send to a target, 0 if this node is not one.

    These are the first ``limit`` nodes of a ranking that is the same at all
    nodes. They are of the target's failure domain while any node there is
    alive: traffic between failure domains costs money, and a node that is cut
    off from that domain cannot know which nodes send.
    """
    local = state.local
    if local.stopping:
        return 0
    domains = state.roster.live_domains()
    sending_domain = failure_domain
    if sending_domain not in domains:
        sending_domain = top_ranked_names(domains, target, 1)[0]
    if sending_domain != local.failure_domain:
        return 0
    chosen = top_ranked_names(state.roster.live_domain_nodes(), target, limit)
    return len(chosen) if local.node_id in chosen else 0


def top_ranked_names(
    names: Collection[str],
    target: str,
    limit: int,
) -> list[str]:
    """Return the first ``limit`` names of the ranking for a target."""
    return heapq.nsmallest(limit, names, key=lambda name: _score(name, target))


@functools.lru_cache(_SCORE_CACHE_SIZE)
def _score(name: str, target: str) -> bytes:
    text = f'{name}\0{target}'.encode()
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()
