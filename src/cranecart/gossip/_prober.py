"""Ping the nodes of the own failure domain in turn."""

import itertools
import random
from collections.abc import Iterator

import attrs
import curio

from cranecart.gossip._entries import Message, MessageKind
from cranecart.gossip._sender import GossipSender

_HELPERS = 2
_MAX_HELPED = 16


@attrs.define
class Prober:
    """Pings one node a turn; asks others to try before it is suspected."""

    _speaker: GossipSender
    _random: random.Random
    _answer_seconds: float
    _numbers: Iterator[int] = attrs.field(
        factory=lambda: itertools.count(1),
        init=False,
    )
    _waiting: dict[int, curio.Event] = attrs.field(factory=dict, init=False)
    _helped: dict[int, tuple[str, int]] = attrs.field(factory=dict, init=False)
    _round: list[str] = attrs.field(factory=list, init=False)

    async def probe_next(self) -> None:
        """Start to ping the next in turn, if there is anybody."""
        name = self._next_in_turn()
        if name is not None:
            await curio.spawn(self._probe, name, daemon=True)

    async def note_ack(self, number: int) -> None:
        """Take an answer to a ping, an own one or one made for another."""
        waiting = self._waiting.get(number)
        if waiting is not None:
            await waiting.set()
        helped = self._helped.pop(number, None)
        if helped is not None:
            address, original = helped
            self._speaker.send(address, MessageKind.ACK, number=original)

    def help(self, message: Message) -> None:
        """Ping a node because another one got no answer from it."""
        wanted = self._speaker.members.others().get(message.about)
        if wanted is None:
            return
        number = next(self._numbers)
        self._helped[number] = (message.address, message.number)
        while len(self._helped) > _MAX_HELPED:
            self._helped.pop(next(iter(self._helped)))
        self._speaker.send(wanted.address, MessageKind.PING, number=number)

    def _next_in_turn(self) -> str | None:
        others = self._speaker.members.others()
        self._round = [name for name in self._round if name in others]
        if not self._round:
            self._round = sorted(others)
            self._random.shuffle(self._round)
        return self._round.pop() if self._round else None

    async def _probe(self, name: str) -> None:
        others = self._speaker.members.others()
        number = next(self._numbers)
        answered = curio.Event()
        self._waiting[number] = answered
        try:
            if name in others and not await self._is_answered(name, number):
                self._speaker.members.suspect(name)
        finally:
            self._waiting.pop(number, None)

    async def _is_answered(self, name: str, number: int) -> bool:
        others = self._speaker.members.others()
        self._speaker.send(
            others[name].address,
            MessageKind.PING,
            number=number,
        )
        if await self._wait(number):
            return True
        helpers = [other for other in sorted(others) if other != name]
        self._random.shuffle(helpers)
        for helper in helpers[:_HELPERS]:
            self._speaker.send(
                others[helper].address,
                MessageKind.PING_FOR_ME,
                number=number,
                about=name,
            )
        return await self._wait(number)

    async def _wait(self, number: int) -> bool:
        answered = self._waiting[number]
        async with curio.ignore_after(self._answer_seconds):
            await answered.wait()
        return answered.is_set()
