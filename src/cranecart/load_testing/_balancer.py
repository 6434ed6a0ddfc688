"""Round-robin load balancer over ready nodes, like the platform's."""

import itertools
from collections.abc import Iterator, Sequence

import attrs
import curio

from cranecart.exceptions import HttpError
from cranecart.http import Address, Request, exchange

_POLL_SECONDS = 0.3
_READINESS_TIMEOUT_SECONDS = 1.0


@attrs.frozen
class NodeEndpoints:
    """A node's addresses for clients and for operators."""

    clients: Address
    operators: Address


@attrs.define
class Balancer:
    """Chooses ready nodes in turn; polls the readiness of all nodes."""

    entries: Sequence[NodeEndpoints]
    _ready: set[Address] = attrs.field(factory=set, init=False)
    _counter: Iterator[int] = attrs.field(
        factory=itertools.count,
        init=False,
    )

    @property
    def ready(self) -> list[Address]:
        """Return the addresses of the ready nodes."""
        return [
            entry.clients
            for entry in self.entries
            if entry.clients in self._ready
        ]

    def choose(self) -> Address:
        """Return the next ready node, or the next of all nodes if none is."""
        pool = self.ready or [entry.clients for entry in self.entries]
        return pool[next(self._counter) % len(pool)]

    async def run(self) -> None:
        """Poll the readiness of all nodes until cancelled."""
        while True:
            async with curio.TaskGroup(wait=all) as checks:
                for entry in self.entries:
                    await checks.spawn(self._check, entry)
            await curio.sleep(_POLL_SECONDS)

    async def _check(self, entry: NodeEndpoints) -> None:
        try:
            response = await exchange(
                entry.operators,
                Request('GET', '/readyz'),
                _READINESS_TIMEOUT_SECONDS,
            )
        except HttpError:
            self._ready.discard(entry.clients)
            return
        if response.is_success:
            self._ready.add(entry.clients)
        else:
            self._ready.discard(entry.clients)
