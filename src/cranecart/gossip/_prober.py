"""Failure detection: ping the nodes of the own failure domain in turn."""

import itertools
import random
from collections.abc import Iterator

import attrs
import curio

from cranecart.gossip._entries import Message, MessageKind
from cranecart.gossip._sender import GossipSender

_INDIRECT_PROBERS = 2
_MAX_INDIRECT_PINGS = 16


@attrs.define
class Prober:
    """Pings one node per period, directly and then through other nodes.

    The nodes are visited in random order, each once per round.
    """

    _sender: GossipSender
    _random: random.Random
    _ack_timeout_seconds: float
    _numbers: Iterator[int] = attrs.field(
        factory=lambda: itertools.count(1),
        init=False,
    )
    _pending_acks: dict[int, curio.Event] = attrs.field(
        factory=dict, init=False
    )
    _indirect_pings: dict[int, tuple[str, int]] = attrs.field(
        factory=dict, init=False
    )
    _probe_queue: list[str] = attrs.field(factory=list, init=False)

    async def probe_next(self) -> None:
        """Start probing the next node, if there is any."""
        name = self._next_node()
        if name is not None:
            await curio.spawn(self._probe, name, daemon=True)

    async def handle_ack(self, number: int) -> None:
        """Process an acknowledgement, and forward that of an indirect ping."""
        pending_ack = self._pending_acks.get(number)
        if pending_ack is not None:
            await pending_ack.set()
        indirect_ping = self._indirect_pings.pop(number, None)
        if indirect_ping is not None:
            address, original_number = indirect_ping
            self._sender.send(address, MessageKind.ACK, number=original_number)

    def ping_for_peer(self, message: Message) -> None:
        """Ping a node on behalf of a peer that got no answer from it."""
        probed_member = self._sender.members.others().get(message.about)
        if probed_member is None:
            return
        number = next(self._numbers)
        self._indirect_pings[number] = (message.address, message.number)
        while len(self._indirect_pings) > _MAX_INDIRECT_PINGS:
            self._indirect_pings.pop(next(iter(self._indirect_pings)))
        self._sender.send(
            probed_member.address, MessageKind.PING, number=number
        )

    def _next_node(self) -> str | None:
        others = self._sender.members.others()
        self._probe_queue = [
            name for name in self._probe_queue if name in others
        ]
        if not self._probe_queue:
            self._probe_queue = sorted(others)
            self._random.shuffle(self._probe_queue)
        return self._probe_queue.pop() if self._probe_queue else None

    async def _probe(self, name: str) -> None:
        others = self._sender.members.others()
        number = next(self._numbers)
        acked = curio.Event()
        self._pending_acks[number] = acked
        try:
            if name in others and not await self._is_reachable(name, number):
                self._sender.members.suspect(name)
        finally:
            self._pending_acks.pop(number, None)

    async def _is_reachable(self, name: str, number: int) -> bool:
        others = self._sender.members.others()
        self._sender.send(
            others[name].address,
            MessageKind.PING,
            number=number,
        )
        if await self._wait_for_ack(number):
            return True
        probers = [other for other in sorted(others) if other != name]
        self._random.shuffle(probers)
        for prober in probers[:_INDIRECT_PROBERS]:
            self._sender.send(
                others[prober].address,
                MessageKind.INDIRECT_PING,
                number=number,
                about=name,
            )
        return await self._wait_for_ack(number)

    async def _wait_for_ack(self, number: int) -> bool:
        acked = self._pending_acks[number]
        async with curio.ignore_after(self._ack_timeout_seconds):
            await acked.wait()
        return acked.is_set()
