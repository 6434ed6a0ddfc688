"""A stand-in of the platform's balancer: sends to nodes that are ready."""

import itertools
from collections.abc import Iterator, Sequence

import attrs
import curio

from cranecart.exceptions import HttpError
from cranecart.http import Address, Request, exchange

_POLL_SECONDS = 0.3
_ANSWER_SECONDS = 1.0


@attrs.frozen
class Entry:
    """A node as the balancer knows it."""

    clients: Address
    operators: Address


@attrs.define
class Balancer:
    """Chooses nodes in turn among those that said they are ready."""

    entries: Sequence[Entry]
    _ready: set[Address] = attrs.field(factory=set, init=False)
    _turn: Iterator[int] = attrs.field(
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
        """Return the next ready node, or the next of all if none is."""
        pool = self.ready or [entry.clients for entry in self.entries]
        return pool[next(self._turn) % len(pool)]

    async def run(self) -> None:
        """Check all nodes until cancelled."""
        while True:
            async with curio.TaskGroup(wait=all) as checks:
                for entry in self.entries:
                    await checks.spawn(self._check, entry)
            await curio.sleep(_POLL_SECONDS)

    async def _check(self, entry: Entry) -> None:
        try:
            response = await exchange(
                entry.operators,
                Request('GET', '/readyz'),
                _ANSWER_SECONDS,
            )
        except HttpError:
            self._ready.discard(entry.clients)
            return
        if response.is_success:
            self._ready.add(entry.clients)
        else:
            self._ready.discard(entry.clients)
