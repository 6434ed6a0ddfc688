"""Many nodes that send to one cold target, in simulated time.

The throttles and the dealing of requests are the real ones. Nodes know of other
nodes as the store lists them, some time ago; nodes that are cut off keep what
they knew.
"""

import functools
from types import SimpleNamespace
from typing import Any

from cranecart.mesh import dealt_requests
from cranecart.throttling import ColdSharing, TargetThrottle
from tests.lib.limit_simulation import INCARNATION, LimitSimulation, Node
from tests.lib.time_windows import max_in_window

PER_SECOND = 14.0
# What the platform allows at this rate: its 1.5-fold, and 5.
BOUND = 26
# When the target is first listed; the nodes have been running for a while.
LISTED_AT = 2.0
# The nodes that the store lists from a time on.
Listing = tuple[float, frozenset[str]]
# The domain of the target, and that of the nodes that send in place of others.
_DOMAIN = '0'


class ColdSimulation(LimitSimulation):
    """A target that is listed as cold, and the nodes of three domains."""

    def __init__(self, nodes: int, seed: int, per_second: float) -> None:
        """Create all nodes; each has so many requests for the target."""
        # Nodes of the same side hear each other; side 0 also hears the store.
        self.sides: dict[str, int] = {}
        self._views: dict[str, frozenset[str]] = {}
        self._listed: list[Listing] = [(float('-inf'), frozenset())]
        self._joined: set[str] = set()
        self.cold_until = float('inf')
        super().__init__(nodes, 0, seed=seed)
        self._listed = [(float('-inf'), frozenset(self.nodes))]
        self._joined.clear()
        self.limit = None
        self.per_second = per_second

    def start(self, name: str, domain: int = 0) -> None:
        """Start a node, or restart the one of that name."""
        super().start(name, domain)
        self.sides.pop(name, None)
        listed = self._listed[-1][1]
        if listed and name not in listed:
            # Cuts are shorter than the time until it is established.
            self._joined.add(name)
        self._list(listed | {name})
        node = self.nodes[name]
        self._schedule(
            max(0, LISTED_AT - self.now) + node.lag,
            functools.partial(self._learn, node),
        )

    def withdraw(self, name: str) -> None:
        """Stop a node as planned, which removes it from the store."""
        self.stop(name)
        self._list(self._listed[-1][1] - {name})

    def restart_all(self) -> None:
        """Restart all nodes at once, as after a loss of power."""
        for name, node in list(self.nodes.items()):
            self.stop(name)
            self.start(name, node.domain)

    def cut(self, name: str, side: int) -> None:
        """Cut a node off from all nodes that are not on the same side."""
        self._views[name] = self._view(name)
        self.sides[name] = side

    def max_in_second(self) -> int:
        """Return the maximum number of requests in any second."""
        return max_in_window(sorted(at for at, _name in self.arrivals), 1)

    def _list(self, names: frozenset[str]) -> None:
        self._listed.append((self.now, names))

    def _learn(self, node: Node) -> None:
        """Read the entry of the target from the store."""
        if not node.is_alive:
            return
        if self.sides.get(node.name):
            self._schedule(node.lag, functools.partial(self._learn, node))
            return
        node.throttle.set_cold(
            INCARNATION,
            PER_SECOND,
            self.cold_until - self.now,
            'the list',
            is_new=True,
        )

    def _send(self, node: Node) -> None:
        """Send a request to the target, if the node knows of it."""
        if node.throttle.cold_seconds(INCARNATION):
            super()._send(node)
        elif node.is_alive and self.nodes[node.name] is node:
            self._schedule(
                self._interval(), functools.partial(self._send, node)
            )

    def _new_throttle(self, name: str) -> TargetThrottle:
        return TargetThrottle(
            clock=lambda: self.now,
            cold_sharing=ColdSharing(deal=functools.partial(self._deal, name)),
        )

    def _deal(self, name: str, _domain: str, target: str, total: int) -> int:
        peers = {
            peer: SimpleNamespace(failure_domain=self._domain_of(peer))
            for peer in self._view(name) - {name}
        }
        state: Any = SimpleNamespace(
            local=SimpleNamespace(
                node_id=name,
                failure_domain=self._domain_of(name),
                stopping=False,
                is_established=name not in self._joined,
            ),
            roster=SimpleNamespace(
                peers=peers,
                is_live=lambda peer: (
                    self.nodes[peer].is_alive
                    and self.sides.get(name) == self.sides.get(peer)
                ),
            ),
            peer_state=SimpleNamespace(summaries=dict),
        )
        return dealt_requests(state, _DOMAIN, target, total)

    def _view(self, name: str) -> frozenset[str]:
        if self.sides.get(name):
            return self._views[name]
        known_at = self.now - self.nodes[name].lag
        names = next(
            names
            for since, names in reversed(self._listed)
            if since <= known_at
        )
        return names | {name}

    def _domain_of(self, name: str) -> str:
        return str(self.nodes[name].domain)
