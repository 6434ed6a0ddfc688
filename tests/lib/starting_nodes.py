"""Nodes that start and end at different times, before targets that break off.

The store, the targets and the clients run in the test's process, the nodes in
processes of their own.
"""

import contextlib
import enum
import itertools
import random
import signal
import socket
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Self

import attrs
import curio

from cranecart.exceptions import HttpError
from cranecart.http import Address, HttpConnection
from tests.lib.fake_targets import Exchange, FakeTarget
from tests.lib.node_processes import (
    NodeProcess,
    add_config_and_target,
    add_target,
    node_request,
)
from tests.lib.node_streams import sleep_until
from tests.lib.target_processes import Record, repeated_arrivals
from tests.lib.time_windows import max_in_window
from tests.platform._standin import StandinStore, StoreBackup, start
from tools.processes import Addresses

WINDOW_SECONDS = 4.0
_SLACK = 40
_TARGETS = 6
_SLOTS = 100
_REQUESTS_PER_SECOND = 50.0
# The part of the runs that a target breaks off.
_BROKEN_PART = 0.95
_ATTEMPTS = 3
_POLL_SECONDS = 0.02
_STOP_SECONDS = 10.0
_READ_SECONDS = 5.0


class Action(enum.Enum):
    """What happens to the nodes with the numbers of a step, or to the store."""

    KILL = 'killed and started again'
    STOP = 'stopped as planned and started again'
    DUPLICATE = 'a second process under the name of a running one'
    OUTAGE = 'the store does not answer'
    RESTORE = 'the store is restored to what it was before the first start'


@attrs.frozen
class Step:
    """An action, in seconds after the start of the first node."""

    at: float
    action: Action
    numbers: Sequence[int] = ()
    seconds: float = 0


@attrs.frozen(kw_only=True)
class StartCase:
    """Nodes that start one after the other, each ``spacing`` seconds later.

    Each serves from its start on. Their settings are written once: processes
    that are started again read what the first ones read.
    """

    nodes: int
    spacing: float
    seconds: float
    steps: Sequence[Step] = ()
    slack: int = _SLACK

    @classmethod
    def draw(cls, seed: int) -> Self:
        """Return the case of a seed."""
        source = random.Random(seed)
        nodes = source.randint(2, 8)
        seconds = source.uniform(12, 20)
        numbers = range(nodes)
        steps = [
            Step(
                source.uniform(0, seconds - 3),
                source.choice(list(Action)),
                source.sample(numbers, source.randint(1, nodes)),
                source.uniform(0.3, 4),
            )
            for _ in range(source.randint(0, 4))
        ]
        return cls(
            nodes=nodes,
            spacing=source.choice((0, 0.05, 0.2, 0.7, 2)),
            seconds=seconds,
            steps=steps,
            slack=source.choice((8, _SLACK, 136)),
        )


@attrs.frozen
class StartOutcome:
    """Arrivals of requests that had arrived before.

    ``most_repeated`` is the most of them in a window of ``WINDOW_SECONDS``,
    which ``allowed`` bounds.
    """

    allowed: int
    repeated: int
    most_repeated: int
    answered: int


class StartingNodes:
    """Plays one case."""

    def __init__(self, case: StartCase, folder: Path) -> None:
        """Prepare it; nothing runs before ``run``."""
        self._case = case
        self._folder = folder
        self._random = random.Random(1)
        self._addresses = Addresses()
        self._exits = contextlib.ExitStack()
        self._nodes: dict[int, NodeProcess] = {}
        self._duplicates: list[NodeProcess] = []
        self._platform = Address('', 0)
        self._store = StandinStore()
        self._first_rows: StoreBackup | None = None
        self._targets = [
            FakeTarget(f't-{number}', self._break_off)
            for number in range(1, _TARGETS + 1)
        ]
        self._arrivals: list[Record] = []
        self._answered = 0
        self._started_at = float(0)

    async def run(self) -> StartOutcome:
        """Start the nodes, ask them, and return what targets have received."""
        add_config_and_target(
            self._store, self._targets[0], _SLOTS, attempts=_ATTEMPTS
        )
        for target in self._targets[1:]:
            add_target(self._store, target.name, target, _SLOTS)
        self._first_rows = self._store.backup()
        serving = [await curio.spawn(each.run) for each in self._targets]
        store_task, platform = await start(self._store)
        self._platform = platform
        try:
            with self._exits:
                self._exits.callback(self._addresses.release)
                await self._play()
        finally:
            for task in (store_task, *serving):
                await task.cancel()
        return self._evaluate()

    async def _play(self) -> None:
        self._started_at = time.monotonic()
        async with curio.TaskGroup(wait=all) as playing:
            await playing.spawn(self._start_all)
            await playing.spawn(self._ask_all)
            for step in self._case.steps:
                await playing.spawn(self._perform, step)

    async def _start_all(self) -> None:
        for number in range(self._case.nodes):
            self._nodes[number] = self._start(number)
            await curio.sleep(self._case.spacing)

    def _start(self, number: int, suffix: str = '') -> NodeProcess:
        folder = self._folder / f'n{number}{suffix}'
        folder.mkdir(exist_ok=True)
        node = NodeProcess(
            folder,
            self._addresses,
            self._platform,
            f'n{number}',
            first_start=True,
            retry_ratio=0,
            retry_slack=self._case.slack,
            retry_window_seconds=WINDOW_SECONDS,
        )
        self._exits.callback(node.kill)
        return node

    async def _perform(self, step: Step) -> None:
        await sleep_until(self._started_at + step.at)
        match step.action:
            case Action.OUTAGE:
                self._store.set_unresponsive(is_unresponsive=True)
                await curio.sleep(step.seconds)
                self._store.set_unresponsive(is_unresponsive=False)
            case Action.RESTORE:
                assert self._first_rows is not None
                self._store.restore(self._first_rows)
            case _:
                await self._perform_on_nodes(step)

    async def _perform_on_nodes(self, step: Step) -> None:
        numbers = [each for each in step.numbers if each in self._nodes]
        if step.action is Action.DUPLICATE:
            self._duplicates.extend(
                self._start(number, f'-at-{step.at}') for number in numbers
            )
            return
        async with curio.TaskGroup(wait=all) as restarts:
            for number in numbers:
                await restarts.spawn(self._restart, step.action, number)

    async def _restart(self, action: Action, number: int) -> None:
        process = self._nodes[number].process
        process.send_signal(
            signal.SIGKILL if action is Action.KILL else signal.SIGTERM
        )
        given_up_at = time.monotonic() + _STOP_SECONDS
        while process.poll() is None and time.monotonic() < given_up_at:
            await curio.sleep(_POLL_SECONDS)
        if self._nodes[number].process is process:
            self._nodes[number].start_again()

    async def _ask_all(self) -> None:
        for count in itertools.count():
            at = count / _REQUESTS_PER_SECOND
            if at >= self._case.seconds:
                return
            await sleep_until(self._started_at + at)
            nodes = [*self._nodes.values(), *self._duplicates]
            if nodes:
                node = self._random.choice(nodes)
                await curio.spawn(self._ask, node, f'q{count}', daemon=True)

    async def _ask(self, node: NodeProcess, request_id: str) -> None:
        with contextlib.suppress(HttpError):
            connection = await HttpConnection.open(node.client)
            try:
                head = await curio.timeout_after(
                    _READ_SECONDS,
                    connection.send_and_read_head,
                    node_request(request_id),
                )
                self._answered += head.is_success
            except curio.TaskTimeout:
                return
            finally:
                await connection.close()

    async def _break_off(self, exchange: Exchange) -> None:
        request_id = exchange.headers['request-id']
        self._arrivals.append(Record(time.monotonic(), 'arrived', request_id))
        if self._random.random() < _BROKEN_PART:
            await exchange.sock.shutdown(socket.SHUT_RDWR)
        else:
            await exchange.answer(b'{}')

    def _evaluate(self) -> StartOutcome:
        repeats = repeated_arrivals(self._arrivals)
        return StartOutcome(
            self._case.slack,
            len(repeats),
            max_in_window(repeats, WINDOW_SECONDS),
            self._answered,
        )
