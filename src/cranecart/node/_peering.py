"""The parts of a node that deal with other nodes."""

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
    """Link, members, peers and the state shared with them."""

    members: Members
    peers: GossipProtocol
    state: SharedState
    _link: PeerTransport[Message]

    @classmethod
    def from_settings(
        cls,
        settings: NodeSettings,
        directory: TargetDirectory,
        config: ActiveConfig,
        shares: LimitShares,
        random_source: random.Random,
    ) -> Self:
        """Bind the peer address and build the parts."""
        store = EntryStore()
        link = PeerTransport(
            Address.from_text(settings.peer_address),
            encode_message,
            decode_message,
        )
        members = Members(
            settings.node_id,
            MemberInfo(settings.reached_at, settings.failure_domain),
            store,
            # A later life of the same node outranks the earlier one.
            int(time.time() * _MILLISECONDS),
        )
        gossip_sender = GossipSender(members, store, link)
        state = SharedState(
            members,
            store,
            directory.reports,
            directory,
            config,
            DemandSharing(members, shares),
        )
        peers = GossipProtocol(
            gossip_sender,
            link,
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
        return cls(members, peers, state, link)

    def make_guard(self, reports: ReportRegistry) -> RequestGuard:
        """Build what holds requests that end targets, told by all nodes."""

        def is_expected(runner: Runner) -> bool:  # noqa: WPS430
            instance = reports.instances.get(runner.incarnation.id)
            return instance is None or instance.leaving

        guard = RequestGuard(
            is_expected,
            functools.partial(self.state.publish_cases, self.peers),
        )
        self.state.apply_case = guard.merge_remote
        return guard

    async def run(self) -> None:
        """Talk to other nodes until cancelled."""
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(self.peers.run)
            await tasks.spawn(self.state.run, self.peers)
        raise_first_error(tasks)

    def counts(self) -> dict[str, int]:
        """Return the messages and bytes of the link so far."""
        return self._link.counts()

    def close(self) -> None:
        """Close the sockets."""
        self._link.close()
