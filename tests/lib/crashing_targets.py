"""Targets that end when they begin a marked request, before several nodes."""

import functools
import itertools
import socket
import time
from collections.abc import Awaitable, Callable, Sequence

import attrs
import curio

from cranecart.exceptions import HttpError
from cranecart.fleet import ReplicaRecord
from cranecart.http import Address
from cranecart.ports import MemberPhase, Membership
from cranecart.quarantine import CaseUpdate
from tests.lib.fake_targets import (
    ENGINES,
    MODEL,
    ClientAnswer,
    Exchange,
    FakeTarget,
    GatewayWorld,
    instance,
)

MARK = b'ends what runs it'
# As on the users' deployments: an end 0.05 to 0.12 s after the begin.
_BEGUN_SECONDS = 0.06
_LOOK_SECONDS = 0.002
_EVENTS = 6
_EVENT_SECONDS = 0.02


class CrashingTarget(FakeTarget):
    """A target that ends as it begins a marked request, and comes back.

    One that is ``mute`` ends before a byte of an answer; before one that
    ``keeps_port`` something goes on taking connections, and closes them.
    """

    def __init__(
        self,
        name: str,
        deployment: 'Deployment',
        *,
        mute: bool = False,
        keeps_port: bool = False,
    ) -> None:
        """Listen; nothing is served until ``run``."""
        super().__init__(name, self._serve_or_end)
        self.born = 1
        self.incarnations = 1
        self.is_down = False
        self._mute = mute
        self._keeps_port = keeps_port
        self._deployment = deployment
        self._port = self.address.port
        self._is_ending = False
        self._tasks: list[curio.Task] = []

    @property
    def address(self) -> Address:
        """Return where it listens, also while it is down."""
        if self.is_down:
            return Address('127.0.0.1', self._port)
        return super().address

    def end(self) -> None:
        """End at once, as a process does that is killed."""
        self._is_ending = True

    async def run(self) -> None:
        """Live one life after the other until cancelled."""
        while True:
            await self._live()
            self.is_down = True
            self._deployment.note_end(self)
            await self._stay_down()
            self.is_down = False
            self.incarnations += 1
            self._is_ending = False
            self._deployment.list_anew(self)

    async def _stay_down(self) -> None:
        if self._keeps_port:
            await curio.ignore_after(
                self._deployment.back_seconds,
                _take_and_close,
                curio.io.Socket(self._listener),
            )
            return
        await curio.sleep(self._deployment.back_seconds)
        self._listener = socket.create_server(('127.0.0.1', self._port))

    async def _live(self) -> None:
        listener = curio.io.Socket(self._listener)
        accepting = await curio.spawn(self._accept, listener)
        try:
            while not self._is_ending:
                await curio.sleep(_LOOK_SECONDS)
        finally:
            await self._close(accepting, listener)

    async def _close(
        self,
        accepting: curio.Task,
        listener: curio.io.Socket,
    ) -> None:
        await accepting.cancel()
        if not self._keeps_port:
            await listener.close()
        for task in self._tasks:
            await task.cancel()
        self._tasks.clear()

    async def _accept(self, listener: curio.io.Socket) -> None:
        while True:
            sock, _ = await listener.accept()
            task = await curio.spawn(self._serve, sock, daemon=True)
            self._tasks.append(task)

    async def _serve_or_end(self, exchange: Exchange) -> None:
        is_marked = MARK in exchange.body
        self._deployment.note_sent(self, is_marked)
        if self._deployment.is_plain:
            await self._serve_whole(exchange, is_marked)
            return
        if not (is_marked and self._mute):
            await exchange.start_stream()
        if is_marked:
            await curio.sleep(_BEGUN_SECONDS)
            self.end()
            await curio.sleep(30)
        first = int(exchange.headers.get('last-event-id', '0')) + 1
        for number in range(first, _EVENTS):
            await exchange.events(number, number)
            await curio.sleep(_EVENT_SECONDS)
        await exchange.end_stream()

    async def _serve_whole(self, exchange: Exchange, is_marked: bool) -> None:
        await curio.sleep(_BEGUN_SECONDS)
        if is_marked:
            self.end()
            await curio.sleep(30)
        await exchange.answer(b'fine')


async def _take_and_close(listener: curio.io.Socket) -> None:
    while True:
        sock, _ = await listener.accept()
        await sock.close()


@attrs.define
class Sent:
    """A request that came to a target; times on the monotonic clock."""

    at: float
    is_marked: bool


class Deployment:
    """Several nodes before the same targets, in one event loop.

    Targets that have ended come back under another id if they are ``renamed``,
    else with a later birth. ``kind`` says what else ``EndingTarget`` is told.
    """

    def __init__(
        self,
        nodes: int,
        targets: int,
        *,
        service: str = ENGINES,
        renamed: bool = True,
        back_seconds: float = 0.8,
        **kind: bool,
    ) -> None:
        """Build everything; nothing runs until ``run``."""
        self.back_seconds = back_seconds
        self.ends: list[float] = []
        # Nodes that the others' news does not reach.
        self.cut_off: list[GatewayWorld] = []
        self.sent: list[Sent] = []
        self._renamed = renamed
        self._service = service
        self.is_plain = service != ENGINES
        self.targets = [
            CrashingTarget(f'i{number}', self, **kind)
            for number in range(targets)
        ]
        self.nodes = [self.new_node(number) for number in range(nodes)]

    def new_node(self, seed: int = 1) -> GatewayWorld:
        """Build a node that knows the targets as they are."""
        node = GatewayWorld(
            service=self._service,
            others={target.name: target for target in self.targets},
            seed=seed,
        )
        for target in self.targets:
            self._list(node, target)
        node.tell = functools.partial(self._tell, node)
        return node

    async def run(
        self,
        play: Callable[['Deployment'], Awaitable[None]],
    ) -> None:
        """Run everything while a play lasts."""
        tasks = [await curio.spawn(target.run) for target in self.targets]
        for node in self.nodes:
            tasks.append(await self.start(node))
        try:
            await play(self)
        finally:
            for task in tasks:
                await task.cancel()

    async def start(self, node: GatewayWorld) -> curio.Task:
        """Let a node serve."""
        node.server.open()
        return await curio.spawn(node.server.run, daemon=True)

    def note_end(self, _target: CrashingTarget) -> None:
        """Take over that a target has ended."""
        self.ends.append(time.monotonic())

    def note_sent(self, _target: CrashingTarget, is_marked: bool) -> None:
        """Take over that a request came to a target."""
        self.sent.append(Sent(time.monotonic(), is_marked))

    def list_anew(self, target: CrashingTarget) -> None:
        """Tell all nodes of a target's next life."""
        for node in self.nodes:
            self._list(node, target)

    def marked_after(self, ends: int, seconds: float) -> int:
        """Count marked requests that came so long after so many ends."""
        if len(self.ends) < ends:
            return 0
        since = self.ends[ends - 1] + seconds
        return sum(one.is_marked and one.at > since for one in self.sent)

    def under_way(self, ends: int) -> int:
        """Count marked requests at targets when so many had ended."""
        if len(self.ends) < ends:
            return 0
        decided_at = self.ends[ends - 1]
        come = sum(one.is_marked and one.at <= decided_at for one in self.sent)
        return come - ends

    def _tell(self, teller: GatewayWorld, cases: Sequence[CaseUpdate]) -> None:
        """Pass news on to the other nodes."""
        for node in self.nodes:
            if node is not teller and node not in self.cut_off:
                for news in cases:
                    node.guard.merge_remote(news, 'another node')

    def _list(self, node: GatewayWorld, target: CrashingTarget) -> None:
        name = target.name
        if self._renamed:
            name = f'{name}-{target.incarnations}'
        replica = f'{target.name}-{target.incarnations}'
        listed = instance(name, target.address, self._service)
        anew = attrs.evolve(
            listed,
            membership=Membership(replica, 1, 0, MemberPhase.OPEN),
            born=target.incarnations,
        )
        earlier = [
            known
            for known in node.fleet.instances
            if known.partition('-')[0] == target.name
        ]
        gone = dict.fromkeys(earlier)
        node.fleet.apply_instances({**gone, name: anew}, False)
        record = ReplicaRecord(
            replica,
            1,
            ENGINES,
            MODEL,
            'east',
            'east-0',
            (name,),
            births=(target.incarnations,),
        )
        node.fleet.apply_records({record.key: record}, False)
        node.guard.refresh(node.fleet.instance_list.incarnations())


async def ask_in_turn(
    nodes: Sequence[GatewayWorld],
    path: str,
    body: bytes,
    *,
    seconds: float,
    per_second: float,
) -> list[ClientAnswer]:
    """Ask nodes by turns at a rate; return what came back."""
    ends = time.monotonic() + seconds
    asked = []
    for number, node in enumerate(itertools.cycle(nodes)):
        if time.monotonic() > ends:
            break
        asked.append(
            await curio.spawn(_ask, node, path, body, f'{body[:3]!r}{number}'),
        )
        await curio.sleep(1 / per_second)
    answers = [await task.join() for task in asked]
    return [one for one in answers if one is not None]


async def _ask(
    node: GatewayWorld,
    path: str,
    body: bytes,
    request_id: str,
) -> ClientAnswer | None:
    """Ask as a client does that does not mind a closed connection."""
    try:
        return await node.ask(path, body=body, request_id=request_id)
    except HttpError:
        return None
