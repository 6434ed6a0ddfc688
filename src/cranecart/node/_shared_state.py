"""Exchange reports, summaries, demand and configuration with other nodes."""

from collections.abc import Callable, Collection, Iterable

import attrs
import curio
import msgspec

from cranecart.clocks import since_boot
from cranecart.declarations import DomainVersions
from cranecart.gossip import (
    EncodedConfig,
    Entry,
    EntryStore,
    GossipProtocol,
    Members,
    Topic,
    choose_nodes,
)
from cranecart.instances import Instance
from cranecart.node._demand_sharing import DemandSharing
from cranecart.quarantine import CaseUpdate
from cranecart.rollout import ActiveConfig, Release
from cranecart.targets import (
    DomainSummary,
    ProbeOutcome,
    ProbeResult,
    ReportRegistry,
    TargetDirectory,
)

_TICK_SECONDS = 0.1
_SUMMARY_INTERVAL_TICKS = 10
_REPUBLISH_INTERVAL_TICKS = 30
_MAX_LISTED_NODES = 8
# How long the reports of a suspected node still count. By then, the nodes that
# probe its instances instead have reports of their own.
_OBSERVER_GRACE_SECONDS = 1.5
_PROBERS_PER_INSTANCE = 2
# Cases are sent to other failure domains in each message, at about 200 bytes
# each.
_MAX_CASES = 64


@attrs.define
class SharedState:
    """Keeps reports, directory and configuration in sync with other nodes."""

    _members: Members
    _store: EntryStore
    _reports: ReportRegistry
    _directory: TargetDirectory
    _config: ActiveConfig
    _demand_sharing: DemandSharing
    # Called with each update on a crashing request, and the node that sent it.
    apply_case: Callable[[CaseUpdate, str], object] = attrs.field(
        default=lambda _update, _sender: None,
        init=False,
    )
    _summary: DomainSummary | None = attrs.field(default=None, init=False)
    _live_nodes: frozenset[str] = attrs.field(factory=frozenset, init=False)
    _trusted_observers: frozenset[str] = attrs.field(
        factory=frozenset, init=False
    )
    _last_seen_alive: dict[str, float] = attrs.field(factory=dict, init=False)
    _probed_instances: list[str] = attrs.field(factory=list, init=False)

    async def run(self, gossip_protocol: GossipProtocol) -> None:
        """Track which nodes are alive, and publish changes of this node."""
        ticks = 0
        while True:
            self._update_live_nodes(gossip_protocol)
            self._merge_evacuations()
            self._announce_config()
            self._demand_sharing.publish(gossip_protocol, ticks)
            ticks += 1
            if self._is_summary_due(ticks) and self._is_relay():
                self._publish_summary(gossip_protocol, ticks)
            await curio.sleep(_TICK_SECONDS)

    def replace_instances(self, instances: Iterable[Instance]) -> None:
        """Apply a new list, and reports received before on its instances."""
        self._reports.replace_instances(instances)
        self._choose_probed_instances()
        self._reapply_reports(self._trusted_observers)

    def listed_instances(self) -> list[Instance]:
        """Return the listed instances, or none before the first list."""
        return list(self._reports.instances.values())

    def stop(self) -> None:
        """Announce to other nodes that this node is stopping."""
        self._members.announce(attrs.evolve(self._members.info, stopping=True))

    def apply_entry(self, entry: Entry) -> None:
        """Apply an entry that was just accepted."""
        match entry.key.topic:
            case Topic.REPORT:
                self._apply_report(entry)
            case Topic.SUMMARY:
                summary = msgspec.convert(entry.body, DomainSummary)
                self._directory.record_summary(summary)
                self._directory.evacuations.merge(
                    summary.evacuations, entry.key.origin
                )
                self._demand_sharing.apply_summary(summary)
            case Topic.CASE:
                update = msgspec.convert(entry.body, CaseUpdate)
                self.apply_case(update, entry.key.origin)
                self._discard_old_cases()
            case _:
                self._demand_sharing.apply_entry(entry)

    def publish_cases(
        self, gossip_protocol: GossipProtocol, cases: Iterable[CaseUpdate]
    ) -> None:
        """Publish cases of requests that may have crashed their targets."""
        for update in cases:
            body = msgspec.to_builtins(update)
            gossip_protocol.publish(Topic.CASE, update.identity, body)
        self._discard_old_cases()

    def active_config(self) -> EncodedConfig:
        """Return the active configuration."""
        release = self._config.release
        return EncodedConfig(
            release.version,
            release.sha256,
            self._config.encoded,
        )

    def apply_config(self, config: EncodedConfig) -> None:
        """Activate a configuration that a peer has sent."""
        release = Release(config.version, config.sha256)
        self._config.activate(release, config.encoded)

    def versions(self) -> DomainVersions:
        """Return the configuration versions in this failure domain."""
        versions = {
            node_id: info.config_version
            for node_id, info in self._members.all_members()
        }
        newest = max(versions.values(), default=0)
        behind = sorted(
            node_id for node_id, version in versions.items() if version < newest
        )
        return DomainVersions(
            len(versions),
            min(versions.values(), default=0),
            newest,
            tuple(behind[:_MAX_LISTED_NODES]),
        )

    def probed_instances(self) -> Collection[str]:
        """Return the instances that this node has to probe."""
        return self._probed_instances

    def _discard_old_cases(self) -> None:
        cases = [entry.key for entry in self._store.of_topic(Topic.CASE)]
        self._store.remove(cases[:-_MAX_CASES])

    def _choose_probed_instances(self) -> None:
        # Only called on changes: it computes a hash per instance and node.
        domain = self._members.info.failure_domain
        self._probed_instances = [
            instance_id
            for instance_id, instance in self._reports.instances.items()
            if instance.failure_domain == domain
            and self._members.node_id
            in choose_nodes(
                instance_id, self._live_nodes, _PROBERS_PER_INSTANCE
            )
        ]

    def _update_live_nodes(self, gossip_protocol: GossipProtocol) -> None:
        live = frozenset(self._members.alive())
        if gossip_protocol.is_isolated:
            live = frozenset((self._members.node_id,))
        now = since_boot()
        self._last_seen_alive.update(dict.fromkeys(live, now))
        trusted = frozenset(
            node_id
            for node_id, last_seen in self._last_seen_alive.items()
            if now - last_seen < _OBSERVER_GRACE_SECONDS
        )
        if live != self._live_nodes:
            self._live_nodes = live
            self._demand_sharing.add_live_nodes(live)
            self._choose_probed_instances()
        if trusted != self._trusted_observers:
            returned = trusted - self._trusted_observers
            self._trusted_observers = trusted
            self._reports.replace_live_nodes(trusted)
            # Reports that were ignored meanwhile have to be applied now.
            self._reapply_reports(returned)

    def _reapply_reports(self, origins: Collection[str]) -> None:
        for entry in list(self._store.of_topic(Topic.REPORT)):
            if entry.key.origin in origins:
                self._apply_report(entry)

    def _publish_summary(
        self, gossip_protocol: GossipProtocol, ticks: int
    ) -> None:
        summary = self._directory.summary(
            self.versions(),
            self._demand_sharing.domain_demand(),
        )
        if summary != self._summary or ticks % _REPUBLISH_INTERVAL_TICKS == 0:
            self._summary = summary
            gossip_protocol.publish(
                Topic.SUMMARY,
                summary.failure_domain,
                msgspec.to_builtins(summary),
            )

    def _announce_config(self) -> None:
        release = self._config.release
        self._members.announce(
            attrs.evolve(
                self._members.info,
                config_version=release.version,
                config_sha256=release.sha256,
                evacuations=self._directory.evacuations.known(),
            ),
        )

    def _merge_evacuations(self) -> None:
        for node_id, info in self._members.others().items():
            if info.evacuations:
                self._directory.evacuations.merge(info.evacuations, node_id)

    def _is_summary_due(self, ticks: int) -> bool:
        """Return whether to publish a summary now; at once for evacuations."""
        published = self._summary.evacuations if self._summary else ()
        return (
            ticks % _SUMMARY_INTERVAL_TICKS == 0
            or self._directory.evacuations.known() != published
        )

    def _is_relay(self) -> bool:
        domain = self._members.info.failure_domain
        chosen = choose_nodes(f'relay/{domain}', self._live_nodes, 1)
        return chosen == [self._members.node_id]

    def _apply_report(self, entry: Entry) -> None:
        instance_id = entry.key.subject
        observer = entry.key.origin
        if (
            observer not in self._trusted_observers
            or observer == self._members.node_id
        ):
            return
        probe = msgspec.convert(entry.body, ProbeResult)
        match probe.reach:
            case ProbeOutcome.ANSWERED if probe.report:
                self._reports.record_report(probe.report, observer)
            case ProbeOutcome.SILENT:
                self._reports.record_unreachable(instance_id, observer)
            case _:
                self._reports.remove_observation(instance_id, observer)
