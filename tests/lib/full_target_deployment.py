"""Nodes and nearly full targets, all in processes of their own.

Targets are stopped, resumed and killed by signals while clients read streams or
wait for plain calls.
"""

import contextlib
import itertools
import signal
import time
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path

import attrs
import curio

from cranecart.exceptions import HttpError
from cranecart.http import Address, HttpConnection
from tests.lib.client_answers import Answer, AnswerReader
from tests.lib.full_target_cases import (
    ATTEMPTS,
    DEADLINE_SECONDS,
    Action,
    Case,
    Step,
    StoreRow,
    instance_name,
    request_headers,
)
from tests.lib.node_processes import NodeProcess
from tests.lib.node_streams import sleep_until
from tests.lib.target_processes import (
    Run,
    TargetProcess,
    highest_sum,
    most_running,
    repeated_arrivals,
)
from tests.lib.time_windows import max_in_window
from tests.lib.waiting import until
from tests.platform._standin import StandinStore, start
from tools.processes import Addresses

_WINDOW_SECONDS = 10.0
# A target that is told that its client has left stops within this time.
_STOP_SECONDS = 0.5
_START_SECONDS = 30.0
# Until an instance that was killed is no longer listed.
_LAPSE_SECONDS = 3.0
# Clients start within this time, so that nodes know the load of all.
_START_SPREAD_SECONDS = 0.4
_POLL_SECONDS = 0.02
# By how much the time given to a target may exceed what its client waits.
_TOLERANCE_SECONDS = 0.5
# Requests that are refused as not run are sent again with an id of their own.
_CLIENT_RETRIES = 3
_CLIENT_RETRY_SECONDS = 0.3
_OK = 200
_NOT_RUN = 503
# The connection broke before a response, or the request was not run.
_MAY_BE_REPEATED = frozenset((0, _NOT_RUN))
_REASONS = (
    'refused with',
    'sends no events',
    'was silent',
    'has stopped',
    'deadline',
    'accepts no requests',
    'cannot be reached',
    'did not finish',
)


@attrs.frozen(kw_only=True)
class Outcome:
    """What clients got and what targets were asked.

    ``refused`` counts those that got no response by status, ``retried`` how
    often clients sent a request again that was refused as not run. ``lost``
    were read by a node that closed the connection. ``mixed`` are streams with an event that is missing or stands twice,
    ``repeated`` arrivals at targets beyond the first of each request and
    ``most_repeated`` the most of them within the budget's window, ``moved``
    runs beyond the first. ``overtime`` are requests of which a target was given
    more time than their clients wait. ``most_at_once`` is the most targets that worked on
    one request at the same time, ``most_targets`` the most that have begun it.
    ``late`` are runs that went on after their client had left. ``failures`` are attempts of nodes by reason.
    """

    whole: int
    cut: Sequence[str]
    refused: Mapping[int, int]
    retried: int
    lost: Sequence[str]
    mixed: Sequence[str]
    repeated: int
    most_repeated: int
    moved: int
    most_at_once: int
    most_targets: int
    most_running: int
    late: Sequence[str]
    overtime: Sequence[str]
    failures: Mapping[str, int]
    longest_pause: float
    orders: int
    left: int

    def violations(self, case: Case) -> list[str]:
        """Return what must not happen, in words."""
        refused = sum(
            count
            for status, count in self.refused.items()
            if status != _NOT_RUN or not case.may_refuse
        )
        bounds = {
            'cut': len(self.cut),
            'missing or repeated events': len(self.mixed),
            'refused': refused,
            'lost': len(self.lost),
            'retries over the budget': max(0, self.most_repeated - case.slack),
            'targets at once': max(0, self.most_at_once - ATTEMPTS),
            'requests over the slots': max(0, self.most_running - case.slots),
            'runs for clients that left': len(self.late),
            'given more time than remains': len(self.overtime),
            'runs repeated': 0 if case.may_repeat else self.moved,
        }
        return [f'{count} {name}' for name, count in bounds.items() if count]


class Deployment:
    """A store, nodes and targets for one case, in a folder."""

    def __init__(self, case: Case, folder: Path) -> None:
        """Create it; nothing runs before ``run``."""
        self._case = case
        self._folder = folder
        self._store = StandinStore()
        self._addresses = Addresses()
        self._exits = contextlib.ExitStack()
        self._targets: list[TargetProcess] = []
        self._nodes: list[NodeProcess] = []
        self._stopping: set[int] = set()
        self._version = 1
        self._started_at = float(0)
        self._leaving: dict[int, float] = {}
        self._retried = 0
        self._unanswered: list[str] = []
        self._sent_at: dict[str, float] = {}

    async def run(self) -> Outcome:
        """Start everything, play the case, and return what happened."""
        store_task, platform = await start(self._store)
        try:
            with self._exits:
                self._exits.callback(self._addresses.release)
                await self._start(platform)
                answers = await self._play()
        finally:
            await store_task.cancel()
        # The connections of the store end once those of the nodes have.
        await curio.sleep(_POLL_SECONDS)
        return self._evaluate(answers)

    async def _start(self, platform: Address) -> None:
        case = self._case
        self._write(case.config_rows(self._version))
        for number in range(case.targets):
            target = TargetProcess.start(
                number, self._folder, case.slots, case.events
            )
            self._exits.callback(target.close)
            self._targets.append(target)
            self._write(case.target_rows(number, target.address))
        for number in range(case.nodes):
            node = NodeProcess(
                self._folder,
                self._addresses,
                platform,
                f'n{number}',
                retry_slack=case.slack,
                retry_ratio=0,
                first_start=True,
            )
            self._exits.callback(_kill_node, node)
            self._nodes.append(node)
        await until(
            lambda: all(map(self._is_settled, self._nodes)), _START_SECONDS
        )

    def _is_settled(self, node: NodeProcess) -> bool:
        """Return whether a node knows all others and has its share."""
        shares = node.events('retry_share')
        knows_others = (
            bool(shares)
            and shares[-1]['nodes'] == self._case.nodes
            and len(node.events('peer_met')) >= self._case.nodes - 1
        )
        is_informed = bool(node.events('node_informed'))
        return is_informed and knows_others and node.has_retries()

    def _write(self, rows: Iterable[StoreRow]) -> None:
        for row in rows:
            self._store.put(*row)

    async def _play(self) -> list[Answer]:
        self._started_at = time.monotonic()
        async with curio.TaskGroup(wait=all) as steps:
            for step in self._case.steps:
                await steps.spawn(self._perform, step)
            async with curio.TaskGroup(wait=all) as clients:
                for number in range(self._case.clients):
                    await clients.spawn(self._act_as_client, number)
        # Targets notice that connections were closed.
        await curio.sleep(_STOP_SECONDS)
        return [answer for answers in clients.results for answer in answers]

    async def _perform(self, step: Step) -> None:
        await sleep_until(self._started_at + step.at)
        async with curio.TaskGroup(wait=all) as tasks:
            for number in step.numbers:
                await tasks.spawn(self._perform_on, step, number)
            if step.action is Action.CHANGE_CONFIG:
                self._version += 1
                self._write(self._case.config_rows(self._version))

    async def _perform_on(self, step: Step, number: int) -> None:
        match step.action:
            case Action.PAUSE_TARGETS:
                await self._targets[number].pause(step.seconds)
            case Action.KILL_TARGETS:
                self._targets[number].kill()
                await curio.sleep(_LAPSE_SECONDS)
                self._store.drop('servers', '', instance_name(number))
            case Action.HANG_UP_NODES:
                self._nodes[number].process.send_signal(signal.SIGHUP)
            case Action.RESTART_NODES:
                await self._restart(number)
            case Action.KILL_NODES:
                await self._restart(number, signal.SIGKILL)
            case Action.PAUSE_NODES:
                await _pause(self._nodes[number], step.seconds)
            case Action.LEAVE:
                self._leaving[number] = time.monotonic()

    async def _restart(
        self, number: int, how: signal.Signals = signal.SIGTERM
    ) -> None:
        node = self._nodes[number]
        if number in self._stopping:
            return
        self._stopping.add(number)
        node.process.send_signal(how)
        while node.process.poll() is None:
            await curio.sleep(_POLL_SECONDS)
        starts = len(node.events('node_informed'))
        node.restart()
        while len(node.events('node_informed')) == starts:
            await curio.sleep(_POLL_SECONDS)
        self._stopping.remove(number)

    async def _act_as_client(self, number: int) -> list[Answer]:
        spread = _START_SPREAD_SECONDS * number / self._case.clients
        await sleep_until(self._started_at + spread)
        answers = []
        for count in range(self._case.requests):
            answers.append(await self._ask_again(number, f'q{number}-{count}'))
        return answers

    async def _ask_again(self, number: int, request_id: str) -> Answer:
        """Ask again a few times if the request was refused or not read."""
        answer = await self._ask(number, request_id)
        for count in range(_CLIENT_RETRIES):
            if answer.status not in _MAY_BE_REPEATED or number in self._leaving:
                break
            if answer.status == _NOT_RUN:
                self._retried += 1
            else:
                self._unanswered.append(answer.request_id)
            await curio.sleep(_CLIENT_RETRY_SECONDS)
            answer = await self._ask(number, f'{request_id}-{count}')
        return answer

    async def _ask(self, number: int, request_id: str) -> Answer:
        connection = await self._connect(number)
        reader = AnswerReader(connection, request_headers(request_id))
        try:
            async with curio.TaskGroup(wait=any) as tasks:
                await tasks.spawn(reader.read, self._case.path)
                await tasks.spawn(self._wait_to_leave, number)
        finally:
            self._sent_at[request_id] = reader.sent_at
            await connection.close()
        return reader.answer(self._leaving.get(number))

    async def _connect(self, number: int) -> HttpConnection:
        """Connect to a node that is not stopping, as a balancer does."""
        count = self._case.nodes
        nodes = [(number + offset) % count for offset in range(count)]
        given_up_at = time.monotonic() + _START_SECONDS
        while time.monotonic() < given_up_at:
            order = sorted(nodes, key=self._stopping.__contains__)
            for node in order:
                with contextlib.suppress(HttpError):
                    return await HttpConnection.open(self._nodes[node].client)
            await curio.sleep(_POLL_SECONDS)
        raise AssertionError('no node accepts connections')

    async def _wait_to_leave(self, number: int) -> None:
        while number not in self._leaving:
            await curio.sleep(_POLL_SECONDS)

    def _evaluate(self, answers: Sequence[Answer]) -> Outcome:
        records = [target.records() for target in self._targets]
        runs = self._runs()
        stayed = [answer for answer in answers if answer.left_at is None]
        begun = [answer for answer in stayed if answer.status == _OK]
        repeats = repeated_arrivals(itertools.chain.from_iterable(records))
        return Outcome(
            whole=sum(map(self._is_whole, begun)),
            cut=[
                each.request_id
                for each in begun
                if not each.is_mixed and not self._is_whole(each)
            ],
            refused=Counter(
                answer.status for answer in stayed if answer.status != _OK
            ),
            retried=self._retried,
            lost=sorted(self._read_requests().intersection(self._unanswered)),
            mixed=[each.request_id for each in begun if each.is_mixed],
            repeated=len(repeats),
            most_repeated=max_in_window(repeats, _WINDOW_SECONDS),
            moved=sum(len(each) - 1 for each in runs.values()),
            most_at_once=max(map(self._most_at_once, runs.values()), default=0),
            most_targets=max(
                (len({run.target for run in each}) for each in runs.values()),
                default=0,
            ),
            most_running=max(map(most_running, records), default=0),
            late=[
                answer.request_id
                for answer in answers
                if answer.left_at is not None
                and self._is_late(answer.left_at, runs[answer.request_id])
            ],
            overtime=self._overtime(),
            failures=self._failures(),
            longest_pause=max(
                (answer.longest_pause for answer in begun), default=0
            ),
            orders=sum(
                record.what == 'ordered'
                for record in itertools.chain.from_iterable(records)
            ),
            left=len(answers) - len(stayed),
        )

    def _is_whole(self, answer: Answer) -> bool:
        if self._case.is_plain:
            return answer.is_complete
        return answer.is_complete and answer.event_ids == list(
            range(1, self._case.events + 1)
        )

    def _runs(self) -> dict[str, list[Run]]:
        runs: dict[str, list[Run]] = defaultdict(list)
        for target in self._targets:
            for request_id, run in target.runs():
                runs[request_id].append(run)
        return runs

    def _most_at_once(self, runs: Iterable[Run]) -> int:
        """Return how many targets worked on a request at the same time."""
        changes: list[tuple[float, int]] = []
        for run in runs:
            for began, ended in self._targets[run.target].working_times(run):
                changes.extend(((began, 1), (ended, -1)))
        return highest_sum(changes)

    def _is_late(self, left_at: float, runs: Iterable[Run]) -> bool:
        return any(
            ended > left_at + _STOP_SECONDS and ended - began > _STOP_SECONDS
            for run in runs
            for began, ended in self._targets[run.target].working_times(
                attrs.evolve(run, began=max(run.began, left_at))
            )
        )

    def _overtime(self) -> list[str]:
        return [
            request_id
            for target in self._targets
            for request_id, expires_at in target.expiries()
            if expires_at
            > self._sent_at[request_id] + DEADLINE_SECONDS + _TOLERANCE_SECONDS
        ]

    def _read_requests(self) -> set[str]:
        """Return the requests that nodes have read."""
        return {
            line['request']
            for node in self._nodes
            for line in node.events('admitted')
        }

    def _failures(self) -> Counter[str]:
        return Counter(
            _reason(line['why'])
            for node in self._nodes
            for line in node.events('attempt_failed')
        )


def _reason(why: str) -> str:
    return next((reason for reason in _REASONS if reason in why), why)


async def _pause(node: NodeProcess, seconds: float) -> None:
    node.process.send_signal(signal.SIGSTOP)
    await curio.sleep(seconds)
    node.process.send_signal(signal.SIGCONT)


def _kill_node(node: NodeProcess) -> None:
    node.kill()
