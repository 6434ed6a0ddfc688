"""A gateway that reaches no targets, and other nodes that do, in one process."""

import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import curio

from cranecart.forwarding import PeerGateway, PeersOfCall
from cranecart.http import Address, HttpServer, PartialRequests
from cranecart.peer_calls import Peer, PeerChoice, PeerClient, PeerEndpoint
from tests.lib.cut_paths import CuttablePath
from tests.lib.fake_targets import SERVER_LIMITS, GatewayTestbed, Script

NODE = 'n0'


class HelperNode:
    """A node that takes over requests; it has targets of its own."""

    def __init__(
        self, name: str, scripts: Sequence[Script], **options: Any
    ) -> None:
        """Create its targets; nothing runs yet."""
        self.name = name
        self.testbed = GatewayTestbed(*scripts, **options)
        self.is_able = True
        self.gateway = PeerGateway(
            lambda: self.testbed.config,
            self.testbed.gateway._forwarder,
            self.testbed.budget,
            self.testbed.guard,
            random.Random(1),
        )
        self.endpoint = PeerEndpoint(self.gateway.handle, lambda: self.is_able)
        self.server = HttpServer(
            Address('127.0.0.1', 0),
            self.endpoint.handle,
            SERVER_LIMITS,
            partial=PartialRequests(self.endpoint.refuse_partial),
        )
        self._link: CuttablePath | None = None

    @property
    def link(self) -> CuttablePath:
        """Return the path over which the other node reaches this one."""
        assert self._link is not None
        return self._link

    @property
    def peer(self) -> Peer:
        """Return how other nodes know this one."""
        return Peer(self.name, self.link.address, 'east')

    async def run(self) -> None:
        """Serve until cancelled."""
        async with curio.TaskGroup() as tasks:
            await tasks.spawn(self.server.run)
            await tasks.spawn(self.link.run)
            for target in self.testbed.targets:
                await tasks.spawn(target.run)

    def open(self) -> None:
        """Start to listen."""
        self.server.open()
        self._link = CuttablePath(self.server.address)


class PeerTestbed:
    """A node without paths to targets, and nodes that help it.

    ``live`` are the names of the helpers that count as alive. ``own`` is the
    node's gateway; its targets cannot be reached.
    """

    def __init__(
        self, *helpers: HelperNode, own_scripts: Sequence[Script] = ()
    ) -> None:
        """Create the node; nothing runs yet.

        With ``own_scripts`` its targets can be reached.
        """
        self.helpers = helpers
        self.live = {helper.name for helper in helpers}
        service = helpers[0].testbed.service
        self.own = GatewayTestbed(
            *(own_scripts or (_never, _never)), service=service
        )
        if not own_scripts:
            for name in ('i0', 'i1'):
                self.own.make_unreachable(name)
        self.choice = PeerChoice('east', self._live_peers, random.Random(1))
        self.client = PeerClient(self.choice)
        self._server = HttpServer(
            Address('127.0.0.1', 0),
            PeerEndpoint(_handle_nothing, bool, self.client.grants).handle,
        )
        self.own.gateway._find_peers = lambda: PeersOfCall(self.client, NODE)

    async def run(
        self, scenario: Callable[['PeerTestbed'], Awaitable[None]]
    ) -> None:
        """Run all nodes while a scenario runs."""

        async def run_scenario(_own: GatewayTestbed) -> None:  # noqa: WPS430
            self._server.open()
            self.client.grants.address = str(self._server.address)
            tasks = [await curio.spawn(self._server.run)]
            for helper in self.helpers:
                helper.open()
                tasks.append(await curio.spawn(helper.run))
            try:
                await scenario(self)
            finally:
                for task in tasks:
                    await task.cancel()

        await self.own.run(run_scenario)

    def _live_peers(self) -> list[Peer]:
        return [
            helper.peer for helper in self.helpers if helper.name in self.live
        ]


async def _handle_nothing(*_arguments: object) -> None:
    raise AssertionError('no node passes requests on to this one')


async def _never(_exchange: object) -> None:
    raise AssertionError('a node without paths has reached a target')
