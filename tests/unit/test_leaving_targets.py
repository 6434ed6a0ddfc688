"""What a node knows to be leaving gets nothing, whatever the store does."""

import random
import unittest
from collections.abc import Callable, Mapping

import attrs
import curio

from cranecart.exceptions import HistoryLostError, PlatformUnavailableError
from cranecart.fleet import SourceFollower, SourceUpdate
from cranecart.ports import Changes, ListedInstance, Snapshot
from cranecart.routing import RoutingRequest
from tests.lib.fake_targets import CONFIG, ENGINES, MODEL, PLAIN, GatewayTestbed
from tests.lib.waiting import until

_CHOICES = 40
_LOOKS = 3
_FIRST = 10
_LEFT_AT = 12


async def _unused(_exchange: object) -> None:
    raise AssertionError('no request is sent here')


@attrs.define
class ListSource:
    """The list, as a store tells it that works, fails, or has gone back."""

    items: dict[str, ListedInstance]
    version: int = _FIRST
    changed: dict[str, ListedInstance | None] = attrs.field(factory=dict)
    is_down: bool = False
    history_lost: bool = False
    repeats: bool = False
    calls: int = 0

    async def snapshot(self) -> Snapshot[ListedInstance]:
        """Read everything."""
        self._answer()
        return Snapshot(self.version, dict(self.items))

    async def changes(
        self,
        since: int,
        wait_seconds: float,
    ) -> Changes[ListedInstance]:
        """Return the changes that a test has set, if they are news."""
        self._answer()
        await curio.sleep(0.01)
        if self.history_lost:
            raise HistoryLostError('gone')
        is_news = since < _LEFT_AT or self.repeats
        return Changes(self.version, self.changed if is_news else {})

    async def next_call(self) -> None:
        """Wait until it was asked once more."""
        calls = self.calls
        await until(lambda: self.calls > calls)

    def _answer(self) -> None:
        self.calls += 1
        if self.is_down:
            raise PlatformUnavailableError('down')


class Listening:
    """One node's knowledge of two targets, the second of which leaves."""

    def __init__(self, service: str) -> None:
        """Build everything; nothing is read until ``start``."""
        testbed = GatewayTestbed(_unused, _unused, service=service)
        self.service = service
        self.fleet = testbed.fleet
        self.router = testbed.router
        self.before = dict(testbed.fleet.instances)
        self.source = ListSource(dict(self.before))
        self.follower = SourceFollower(
            'list',
            self.source,
            self.fleet.apply_instances,
            random.Random(1),
        )

    async def start(self) -> curio.Task:
        """Follow the list until the task is cancelled."""
        running = await curio.spawn(self.follower.run)
        await until(lambda: self.follower.is_informed)
        return running

    async def learn(self, entry: ListedInstance | None) -> None:
        """Have the store tell of the second target's end."""
        self.source.changed = {'i1': entry}
        self.source.version = _LEFT_AT
        await until(lambda: self.follower.last_change_version == _LEFT_AT)

    @property
    def leaving(self) -> ListedInstance:
        """Return the second target as it says that it leaves."""
        return attrs.evolve(self.before['i1'], leaving=True)

    def chosen(self) -> set[str]:
        """Return where requests go now."""
        route = next(
            one
            for one in CONFIG.routes
            if one.shares[0].service == self.service
        )
        model = MODEL if self.service == ENGINES else ''
        wanted = RoutingRequest(CONFIG, route, self.service, model, 100, 2)
        return {self.router.choose(wanted).instance.id for _ in range(_CHOICES)}


class LeavingTest(unittest.TestCase):
    """For replicas and for plain instances alike."""

    def test_before(self) -> None:
        """Both get requests as long as none leaves."""
        for service in (PLAIN, ENGINES):
            self.assertEqual(Listening(service).chosen(), {'i0', 'i1'})

    def test_the_store_is_down(self) -> None:
        """What was read before holds on."""
        self._play(_lose_the_store)

    def test_the_entry_goes_while_the_store_is_down(self) -> None:
        """Another node may have read that; it binds this one too."""
        self._play(_hear_that_it_went)

    def test_late_news_of_another_node(self) -> None:
        """What another node read earlier does not bring it back."""
        self._play(_hear_of_the_past)

    def test_a_store_that_answers_with_the_past(self) -> None:
        """Neither changes nor the whole list go back."""
        self._play(_go_back)

    def test_changes_that_come_late(self) -> None:
        """An answer from before what is known changes nothing."""
        self._play(_answer_late)

    def test_the_list_is_read_anew(self) -> None:
        """After the history was lost, what the list says holds."""
        self._play(_lose_the_history)

    def test_its_entry_has_gone(self) -> None:
        """One that leaves without a word is known by that alone."""
        self._play(_lose_the_store, is_listed=False)

    def _play(
        self,
        act: Callable[[Listening], object],
        *,
        is_listed: bool = True,
    ) -> None:
        for service in (PLAIN, ENGINES):
            with self.subTest(service):
                curio.run(self._leave, Listening(service), act, is_listed)

    async def _leave(
        self,
        node: Listening,
        act: Callable[[Listening], object],
        is_listed: bool,
    ) -> None:
        running = await node.start()
        await node.learn(node.leaving if is_listed else None)
        self.assertEqual(node.chosen(), {'i0'})
        act(node)
        for _look in range(_LOOKS):
            await node.source.next_call()
            self.assertEqual(node.chosen(), {'i0'})
        await running.cancel()


def _lose_the_store(node: Listening) -> None:
    node.source.is_down = True


def _hear_that_it_went(node: Listening) -> None:
    node.source.is_down = True
    node.follower.apply_update(
        SourceUpdate(_LEFT_AT, _LEFT_AT + 1, {'i1': None})
    )


def _hear_of_the_past(node: Listening) -> None:
    node.source.is_down = True
    node.follower.apply_update(SourceUpdate(_FIRST, _LEFT_AT - 1, node.before))
    node.follower.apply_update(
        SourceUpdate(_LEFT_AT + 1, _LEFT_AT + 2, node.before)
    )


def _go_back(node: Listening) -> None:
    node.source.version = _LEFT_AT - 1
    node.source.changed = _as_changes(node.before)
    node.source.history_lost = True


def _answer_late(node: Listening) -> None:
    node.source.version = _LEFT_AT - 1
    node.source.changed = _as_changes(node.before)
    node.source.repeats = True


def _lose_the_history(node: Listening) -> None:
    node.source.items['i1'] = node.leaving
    node.source.version = _LEFT_AT + 5
    node.source.history_lost = True


def _as_changes(
    items: Mapping[str, ListedInstance],
) -> dict[str, ListedInstance | None]:
    return dict(items)
