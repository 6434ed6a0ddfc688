"""Pass requests on to other nodes, and take over theirs."""

import functools
import random
from collections.abc import Callable, Iterator
from typing import Self

import attrs
import curio

from cranecart.forwarding import PeerGateway, PeersOfCall
from cranecart.http import Address, HttpServer, PartialRequests, RequestMemory
from cranecart.mesh import Mesh
from cranecart.models import ClientLimits, RouteConfig
from cranecart.peer_calls import (
    AttemptGrants,
    Peer,
    PeerChoice,
    PeerClient,
    PeerEndpoint,
)
from cranecart.reachability import TargetPaths
from cranecart.serving._factories import peer_server_limits
from cranecart.settings import ServingSettings

_MAX_CACHED_PEERS = 1024


@attrs.frozen
class PeerRequests:
    """Requests that this node passes on, and those that it takes over.

    Without a server, no requests are taken over.
    """

    client: PeerClient
    _node_id: str
    _gateway: PeerGateway
    _endpoint: PeerEndpoint
    _server: HttpServer | None

    @classmethod
    def for_node(
        cls,
        settings: ServingSettings,
        gateway: PeerGateway,
        choice: PeerChoice,
        is_able: Callable[[], bool],
        memory: RequestMemory,
    ) -> Self:
        """Build what a node needs; ``is_able`` is whether it takes requests.

        ``memory`` counts them with those of clients.
        """
        grants = AttemptGrants(settings.peer_request_address)
        endpoint = PeerEndpoint(gateway.handle, is_able, grants)
        server = None
        if settings.peer_request_address:
            server = HttpServer(
                Address.from_text(settings.peer_request_address),
                endpoint.handle,
                peer_server_limits(settings, ClientLimits()),
                memory=memory,
                partial=PartialRequests(endpoint.refuse_partial),
            )
        return cls(
            PeerClient(choice, gateway.response_memory, grants),
            settings.node_id,
            gateway,
            endpoint,
            server,
        )

    @property
    def in_flight(self) -> int:
        """Return how many requests of other nodes are being handled."""
        return self._gateway.in_flight

    async def cut_off(self) -> None:
        """Cancel the requests of other nodes that are being handled."""
        await self._gateway.in_progress.cut_off()

    def is_cut_off(self, paths: TargetPaths) -> bool:
        """Return whether this node reaches neither targets nor other nodes.

        With other nodes, requests are passed on, or there is no better node.
        """
        return (
            paths.is_everything_lost()
            and not self.client.choice.has_live_peers()
        )

    def peers_of_call(self) -> PeersOfCall:
        """Return the peers that a client's request may be passed on to."""
        return PeersOfCall(self.client, self._node_id)

    async def run(self) -> None:
        """Take over requests until cancelled."""
        if self._server is None:
            await curio.Event().wait()
        else:
            await self._server.run()

    async def stop(self) -> None:
        """Accept no more requests; those under way are completed."""
        if self._server is not None:
            await self._server.stop_listening()
            await self._server.close_idle()

    def apply_client_limits(
        self, settings: ServingSettings, config: RouteConfig
    ) -> None:
        """Apply the limits of a configuration on what clients send."""
        if self._server is not None:
            self._server.limits = peer_server_limits(settings, config.limits)

    def counts(self) -> dict[str, int]:
        """Return the metrics by name."""
        return {
            'requests_passed_on': self.client.sent,
            'peer_attempts_granted': self.client.grants.granted,
            'peer_attempts_denied': self.client.grants.denied,
            'peer_requests_received': self._endpoint.received,
            'peer_requests_refused': self._endpoint.refused,
        }


def make_peer_choice(
    settings: ServingSettings, mesh: Mesh, random_source: random.Random
) -> PeerChoice:
    """Return what chooses the nodes that take over requests."""
    return PeerChoice(
        settings.failure_domain, lambda: _live_peers(mesh), random_source
    )


def _live_peers(mesh: Mesh) -> Iterator[Peer]:
    return (
        _peer(name, node.request_address, node.failure_domain)
        for name, node in mesh.state.roster.peers.items()
        if node.request_address and mesh.state.roster.is_live(name)
    )


# Hundreds of nodes are looked at for each request that is passed on.
@functools.lru_cache(maxsize=_MAX_CACHED_PEERS)
def _peer(name: str, request_address: str, failure_domain: str) -> Peer:
    return Peer(name, Address.from_text(request_address), failure_domain)
