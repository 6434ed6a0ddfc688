"""The components of a node that communicate with other nodes."""

import functools
import random
import time
from typing import Self

import attrs
import curio

from cranecart.gossip import (
    ConfigExchange,
    EntryStore,
    GossipCallbacks,
    GossipProtocol,
    GossipSender,
    GossipSettings,
    ListExchange,
    MemberInfo,
    Members,
    Message,
    PayloadExchanges,
    decode_message,
    encode_message,
)
from cranecart.http import Address
from cranecart.limits import LimitShares
from cranecart.node._demand_sharing import DemandSharing
from cranecart.node._shared_state import SharedState
from cranecart.quarantine import RequestGuard, Runner
from cranecart.rollout import ActiveConfig
from cranecart.settings import NodeSettings
from cranecart.signals import raise_first_error
from cranecart.targets import ReportRegistry, TargetDirectory
from cranecart.transport import PeerTransport

_MILLISECONDS = 1000


@attrs.frozen
class Peering:
    """The transport, the members, the gossip protocol and shared state."""

    members: Members
    gossip_protocol: GossipProtocol
    state: SharedState
    _transport: PeerTransport[Message]

    @classmethod
    def from_settings(
        cls,
        settings: NodeSettings,
        directory: TargetDirectory,
        config: ActiveConfig,
        shares: LimitShares,
        random_source: random.Random,
    ) -> Self:
        """Bind the peer address and build the components."""
        store = EntryStore()
        transport = PeerTransport(
            Address.from_text(settings.peer_address),
            encode_message,
            decode_message,
        )
        members = Members(
            settings.node_id,
            MemberInfo(
                settings.reachable_peer_address, settings.failure_domain
            ),
            store,
            # After a restart, the node has to supersede its earlier incarnation.
            int(time.time() * _MILLISECONDS),
        )
        gossip_sender = GossipSender(members, store, transport)
        state = SharedState(
            members,
            store,
            directory.reports,
            directory,
            config,
            DemandSharing(members, shares),
        )
        gossip_protocol = GossipProtocol(
            gossip_sender,
            transport,
            GossipSettings(settings.peers),
            PayloadExchanges(
                ConfigExchange(
                    gossip_sender, state.active_config, state.apply_config
                ),
                ListExchange(
                    gossip_sender,
                    state.listed_instances,
                    state.replace_instances,
                ),
            ),
            GossipCallbacks(
                state.apply_entry, directory.reports.discard_remote_observations
            ),
            random_source,
        )
        return cls(members, gossip_protocol, state, transport)

    def make_guard(self, reports: ReportRegistry) -> RequestGuard:
        """Build the guard that holds crashing requests, shared by all nodes."""

        def is_expected(runner: Runner) -> bool:  # noqa: WPS430
            instance = reports.instances.get(runner.incarnation.id)
            return instance is None or instance.leaving

        guard = RequestGuard(
            is_expected,
            functools.partial(self.state.publish_cases, self.gossip_protocol),
        )
        self.state.apply_case = guard.merge_remote
        return guard

    async def run(self) -> None:
        """Communicate with other nodes until cancelled."""
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(self.gossip_protocol.run)
            await tasks.spawn(self.state.run, self.gossip_protocol)
        raise_first_error(tasks)

    def counts(self) -> dict[str, int]:
        """Return the counters of the transport."""
        return self._transport.counts()

    def close(self) -> None:
        """Close the sockets."""
        self._transport.close()
