"""What this node tells others and takes from them, between its parts."""

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
# How long the findings of a node that is doubted still count; by then those
# who ask in its place have found something.
_OBSERVER_GRACE_SECONDS = 1.5
_PROBERS_PER_INSTANCE = 2
# They go to other failure domains with each message, some 200 bytes each.
_MAX_CASES = 64


@attrs.define
class SharedState:
    """Keeps book, directory and configuration in step with other nodes."""

    _members: Members
    _store: EntryStore
    _reports: ReportRegistry
    _directory: TargetDirectory
    _config: ActiveConfig
    _demand_sharing: DemandSharing
    # Told what other nodes know of requests that end targets, and who says so.
    apply_case: Callable[[CaseUpdate, str], object] = attrs.field(
        default=lambda _news, _sender: None,
        init=False,
    )
    _summary: DomainSummary | None = attrs.field(default=None, init=False)
    _live_nodes: frozenset[str] = attrs.field(factory=frozenset, init=False)
    _trusted_observers: frozenset[str] = attrs.field(
        factory=frozenset, init=False
    )
    _last_seen_alive: dict[str, float] = attrs.field(factory=dict, init=False)
    _probed_instances: list[str] = attrs.field(factory=list, init=False)

    async def run(self, peers: GossipProtocol) -> None:
        """Follow who lives, and tell what changed here."""
        ticks = 0
        while True:
            self._update_live_nodes(peers)
            self._announce_config()
            self._demand_sharing.publish(peers, ticks)
            ticks += 1
            if ticks % _SUMMARY_INTERVAL_TICKS == 0 and self._is_relay():
                self._publish_summary(peers, ticks)
            await curio.sleep(_TICK_SECONDS)

    def replace_instances(self, instances: Iterable[Instance]) -> None:
        """Take over a new list, and what was said of those new on it."""
        self._reports.replace_instances(instances)
        self._choose_probed_instances()
        self._reapply_reports(self._trusted_observers)

    def listed_instances(self) -> list[Instance]:
        """Return the list of instances, empty until there is one."""
        return list(self._reports.instances.values())

    def stop(self) -> None:
        """Tell others that this node is about to stop."""
        self._members.announce(attrs.evolve(self._members.info, stopping=True))

    def apply_entry(self, entry: Entry) -> None:
        """Take over an entry that was just accepted."""
        match entry.key.topic:
            case Topic.REPORT:
                self._apply_report(entry)
            case Topic.SUMMARY:
                summary = msgspec.convert(entry.body, DomainSummary)
                self._directory.record_summary(summary)
                self._demand_sharing.apply_summary(summary)
            case Topic.CASE:
                update = msgspec.convert(entry.body, CaseUpdate)
                self.apply_case(update, entry.key.origin)
                self._discard_old_cases()
            case _:
                self._demand_sharing.apply_entry(entry)

    def publish_cases(
        self, peers: GossipProtocol, cases: Iterable[CaseUpdate]
    ) -> None:
        """Tell the other nodes of requests under which targets have ended."""
        for update in cases:
            body = msgspec.to_builtins(update)
            peers.publish(Topic.CASE, update.identity, body)
        self._discard_old_cases()

    def active_config(self) -> EncodedConfig:
        """Return the configuration in force."""
        release = self._config.release
        return EncodedConfig(
            release.version,
            release.sha256,
            self._config.encoded,
        )

    def apply_config(self, held: EncodedConfig) -> None:
        """Put a configuration in force that a peer gave."""
        release = Release(held.version, held.sha256)
        self._config.activate(release, held.encoded)

    def versions(self) -> DomainVersions:
        """Return how far the nodes of this failure domain have come."""
        held = {
            name: info.config_version
            for name, info in self._members.all_members()
        }
        newest = max(held.values(), default=0)
        behind = sorted(name for name, one in held.items() if one < newest)
        return DomainVersions(
            len(held),
            min(held.values(), default=0),
            newest,
            tuple(behind[:_MAX_LISTED_NODES]),
        )

    def probed_instances(self) -> Collection[str]:
        """Return the instances that this node answers for."""
        return self._probed_instances

    def _discard_old_cases(self) -> None:
        cases = [entry.key for entry in self._store.of_topic(Topic.CASE)]
        self._store.remove(cases[:-_MAX_CASES])

    def _choose_probed_instances(self) -> None:
        # Worth doing on change only: it is a hash for each instance and node.
        domain = self._members.info.failure_domain
        self._probed_instances = [
            name
            for name, instance in self._reports.instances.items()
            if instance.failure_domain == domain
            and self._members.node_id
            in choose_nodes(name, self._live_nodes, _PROBERS_PER_INSTANCE)
        ]

    def _update_live_nodes(self, peers: GossipProtocol) -> None:
        live = frozenset(self._members.alive())
        if peers.is_isolated:
            live = frozenset((self._members.node_id,))
        now = since_boot()
        self._last_seen_alive.update(dict.fromkeys(live, now))
        trusted = frozenset(
            name
            for name, seen in self._last_seen_alive.items()
            if now - seen < _OBSERVER_GRACE_SECONDS
        )
        if live != self._live_nodes:
            self._live_nodes = live
            self._demand_sharing.add_live_nodes(live)
            self._choose_probed_instances()
        if trusted != self._trusted_observers:
            returned = trusted - self._trusted_observers
            self._trusted_observers = trusted
            self._reports.replace_live_nodes(trusted)
            # What was found in doubtful times has to be taken in again.
            self._reapply_reports(returned)

    def _reapply_reports(self, origins: Collection[str]) -> None:
        for entry in list(self._store.of_topic(Topic.REPORT)):
            if entry.key.origin in origins:
                self._apply_report(entry)

    def _publish_summary(self, peers: GossipProtocol, ticks: int) -> None:
        summary = self._directory.summary(
            self.versions(),
            self._demand_sharing.domain_demand(),
        )
        if summary != self._summary or ticks % _REPUBLISH_INTERVAL_TICKS == 0:
            self._summary = summary
            peers.publish(
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
            ),
        )

    def _is_relay(self) -> bool:
        domain = self._members.info.failure_domain
        chosen = choose_nodes(f'relay/{domain}', self._live_nodes, 1)
        return chosen == [self._members.node_id]

    def _apply_report(self, entry: Entry) -> None:
        name = entry.key.subject
        origin = entry.key.origin
        if (
            origin not in self._trusted_observers
            or origin == self._members.node_id
        ):
            return
        probe = msgspec.convert(entry.body, ProbeResult)
        match probe.reach:
            case ProbeOutcome.ANSWERED if probe.report:
                self._reports.record_report(probe.report, origin)
            case ProbeOutcome.SILENT:
                self._reports.record_unreachable(name, origin)
            case _:
                self._reports.remove_observation(name, origin)
