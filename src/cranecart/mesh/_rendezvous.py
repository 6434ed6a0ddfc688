"""Choose the nodes that send to a target, by rendezvous hashing.

All nodes agree on the choice without coordination, and a node that joins or
leaves changes only the targets for which it ranks among the first.
"""

import functools
import hashlib
import heapq
import math
from collections.abc import Collection

from cranecart.mesh._state import MeshState
from cranecart.throttling import split_requests

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
    live: traffic between failure domains costs money, and a node that is cut
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


def dealt_requests(
    state: MeshState,
    failure_domain: str,
    target: str,
    total: int,
) -> int:
    """Return how many of a total of requests this node may send to a target.

    The bound of a cold target holds while nodes do not hear each other, so the
    requests are dealt to the known nodes, live or not. A part of them is
    reserved for one other failure domain, whose nodes send while they hear
    less than half of the nodes of the target's own: these may have failed, or
    may send unheard.

    A node that knows of more nodes than others is dealt no more for that, so
    that the sum holds while others have not learned of a new node. The new node
    itself is dealt nothing until all others know of it.
    """
    local = state.local
    if local.stopping or not local.is_established:
        return 0
    own_domain, fallback = split_requests(total)
    if local.failure_domain == failure_domain:
        dealt = own_domain
    elif _is_fallback(state, failure_domain, target):
        dealt = fallback
    else:
        return 0
    names = (local.node_id, *_known_peers(state, local.failure_domain))
    own_score = _score(local.node_id, target)
    rank = sum(_score(name, target) < own_score for name in names)
    return max(0, math.ceil((dealt - rank) / len(names)))


def _is_fallback(state: MeshState, failure_domain: str, target: str) -> bool:
    """Return whether this node's failure domain sends in place of another."""
    domains = {peer.failure_domain for peer in state.roster.peers.values()}
    domains.add(state.local.failure_domain)
    substitutes = top_ranked_names(domains - {failure_domain}, target, 1)
    if substitutes != [state.local.failure_domain]:
        return False
    known = _known_peers(state, failure_domain)
    received = state.peer_state.summaries().get(failure_domain)
    heard_count = (
        sum(map(state.roster.is_live, known))
        if received is None
        else received.summary.node_count
    )
    return 2 * heard_count < max(1, len(known))


def _known_peers(state: MeshState, failure_domain: str) -> list[str]:
    return [
        name
        for name, peer in state.roster.peers.items()
        if peer.failure_domain == failure_domain
    ]


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
