"""Nodes that stop: they have requests left, but get no new ones."""

from collections.abc import Callable

import attrs

# A stopping node sends a heartbeat four times a second until its process ends.
_VALID_SECONDS = 1.0


@attrs.define
class StoppingNodes:
    """The addresses and failure domains of nodes that stop.

    They do not count as live. They are still sent all messages, as they choose
    targets, pass requests on and borrow retries for the requests they have left.
    """

    _clock: Callable[[], float]
    # When each node last said that it stops, its address and failure domain.
    _nodes: dict[str, tuple[float, str, str]] = attrs.field(
        factory=dict, init=False
    )

    def record(self, name: str, address: str, failure_domain: str) -> None:
        """Record that a node has just said that it stops."""
        self._nodes[name] = (self._clock(), address, failure_domain)

    def addresses(self, failure_domain: str | None = None) -> list[str]:
        """Return the addresses of those in a failure domain, or of all."""
        self._drop_ended()
        return [
            address
            for _said_at, address, domain in self._nodes.values()
            if failure_domain in {None, domain}
        ]

    def _drop_ended(self) -> None:
        earliest = self._clock() - _VALID_SECONDS
        ended = [
            name
            for name, (said_at, _address, _domain) in self._nodes.items()
            if said_at <= earliest
        ]
        for name in ended:
            self._nodes.pop(name)
