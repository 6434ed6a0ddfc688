"""Instances known to be leaving get no requests, whatever the store does."""

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

_CHOICE_COUNT = 40
_READ_COUNT = 3
_FIRST_VERSION = 10
_LEAVING_VERSION = 12


async def _unused(_exchange: object) -> None:
    raise AssertionError('expected no request at a target, got one')


@attrs.define
class ListSource:
    """An instance list whose store works, fails or returns outdated versions."""

    items: dict[str, ListedInstance]
    version: int = _FIRST_VERSION
    changed: dict[str, ListedInstance | None] = attrs.field(factory=dict)
    is_down: bool = False
    history_lost: bool = False
    repeats: bool = False
    calls: int = 0

    @property
    def is_receiving_changes(self) -> bool:
        """Return false, as changes arrive at once."""
        return False

    async def snapshot(self) -> Snapshot[ListedInstance]:
        """Read everything."""
        self._record_call()
        return Snapshot(self.version, dict(self.items))

    async def changes(
        self,
        since: int,
        wait_seconds: float,
    ) -> Changes[ListedInstance]:
        """Return the changes that a test has set, if they are new."""
        self._record_call()
        await curio.sleep(0.01)
        if self.history_lost:
            raise HistoryLostError('the requested history was discarded')
        is_news = since < _LEAVING_VERSION or self.repeats
        return Changes(self.version, self.changed if is_news else {})

    async def next_call(self) -> None:
        """Wait until the source is read once more."""
        calls = self.calls
        await until(lambda: self.calls > calls)

    def _record_call(self) -> None:
        self.calls += 1
        if self.is_down:
            raise PlatformUnavailableError('the list source is down')


class ListFollowingNode:
    """One node with two targets, of which the second is leaving."""

    def __init__(self, service: str) -> None:
        """Create the node; nothing is read until ``start``."""
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

    async def receive(self, entry: ListedInstance | None) -> None:
        """Change or remove the entry of the second target."""
        self.source.changed = {'i1': entry}
        self.source.version = _LEAVING_VERSION
        await until(
            lambda: self.follower.last_change_version == _LEAVING_VERSION
        )

    @property
    def leaving(self) -> ListedInstance:
        """Return the entry of the second target, marked as leaving."""
        return attrs.evolve(self.before['i1'], leaving=True)

    def chosen(self) -> set[str]:
        """Return the instances that requests are sent to now."""
        route = next(
            candidate
            for candidate in CONFIG.routes
            if candidate.shares[0].service == self.service
        )
        model = MODEL if self.service == ENGINES else ''
        request = RoutingRequest(CONFIG, route, self.service, model, 100, 2)
        return {
            self.router.choose(request).instance.id
            for _ in range(_CHOICE_COUNT)
        }


class LeavingTest(unittest.TestCase):
    """Leaving instances of replicas and of plain services."""

    def test_none_leaving(self) -> None:
        """Both get requests as long as neither is leaving."""
        for service in (PLAIN, ENGINES):
            self.assertEqual(ListFollowingNode(service).chosen(), {'i0', 'i1'})

    def test_store_outage(self) -> None:
        """The list read before the outage stays in effect."""
        self._run(_take_store_down)

    def test_entry_removed_during_an_outage(self) -> None:
        """An update of another node that removes the entry is applied."""
        self._run(_apply_removal)

    def test_outdated_update_of_another_node(self) -> None:
        """An outdated update of another node is ignored."""
        self._run(_apply_outdated_updates)

    def test_store_returns_an_outdated_list(self) -> None:
        """Neither changes nor a complete list of an older version are applied."""
        self._run(_return_outdated_list)

    def test_store_returns_outdated_changes(self) -> None:
        """Changes of an older version than the known one are ignored."""
        self._run(_return_outdated_changes)

    def test_list_read_after_lost_history(self) -> None:
        """After the history was lost, the complete list is applied."""
        self._run(_lose_history)

    def test_entry_removed_before_an_outage(self) -> None:
        """An instance whose entry is removed counts as leaving."""
        self._run(_take_store_down, is_listed=False)

    def _run(
        self,
        disturb: Callable[[ListFollowingNode], object],
        *,
        is_listed: bool = True,
    ) -> None:
        for service in (PLAIN, ENGINES):
            with self.subTest(service):
                curio.run(
                    self._leave, ListFollowingNode(service), disturb, is_listed
                )

    async def _leave(
        self,
        node: ListFollowingNode,
        disturb: Callable[[ListFollowingNode], object],
        is_listed: bool,
    ) -> None:
        running = await node.start()
        await node.receive(node.leaving if is_listed else None)
        self.assertEqual(node.chosen(), {'i0'})
        disturb(node)
        for _read in range(_READ_COUNT):
            await node.source.next_call()
            self.assertEqual(node.chosen(), {'i0'})
        await running.cancel()


def _take_store_down(node: ListFollowingNode) -> None:
    node.source.is_down = True


def _apply_removal(node: ListFollowingNode) -> None:
    node.source.is_down = True
    node.follower.apply_update(
        SourceUpdate(_LEAVING_VERSION, _LEAVING_VERSION + 1, {'i1': None})
    )


def _apply_outdated_updates(node: ListFollowingNode) -> None:
    node.source.is_down = True
    node.follower.apply_update(
        SourceUpdate(_FIRST_VERSION, _LEAVING_VERSION - 1, node.before)
    )
    node.follower.apply_update(
        SourceUpdate(_LEAVING_VERSION + 1, _LEAVING_VERSION + 2, node.before)
    )


def _return_outdated_list(node: ListFollowingNode) -> None:
    node.source.version = _LEAVING_VERSION - 1
    node.source.changed = _as_changes(node.before)
    node.source.history_lost = True


def _return_outdated_changes(node: ListFollowingNode) -> None:
    node.source.version = _LEAVING_VERSION - 1
    node.source.changed = _as_changes(node.before)
    node.source.repeats = True


def _lose_history(node: ListFollowingNode) -> None:
    node.source.items['i1'] = node.leaving
    node.source.version = _LEAVING_VERSION + 5
    node.source.history_lost = True


def _as_changes(
    items: Mapping[str, ListedInstance],
) -> dict[str, ListedInstance | None]:
    return dict(items)
