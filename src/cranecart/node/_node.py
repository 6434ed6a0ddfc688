"""A node of the native platform: start, serve and stop."""

import random
from collections.abc import Sequence

import curio
import msgspec

from cranecart.claims import ClaimStore
from cranecart.client_api import Gateway
from cranecart.clocks import awake_seconds, since_boot
from cranecart.gossip import Topic
from cranecart.http import HttpServer, PartialRequests, RequestMemory
from cranecart.instances import Instance, InstanceKind
from cranecart.limits import Admission, Capacity, LimitShares, TokenRateLimiter
from cranecart.logs import log_decision
from cranecart.metrics import Metrics
from cranecart.native import PlatformClient, WriteBatcher
from cranecart.node._control_plane import ControlPlane
from cranecart.node._peering import Peering
from cranecart.operators import NodeStatus
from cranecart.rollout import ActiveConfig
from cranecart.selection import Router, policy_from_name
from cranecart.settings import NodeSettings
from cranecart.signals import StopSignal, raise_first_error, stop_signal
from cranecart.targets import (
    EngineClient,
    InstanceListPoller,
    Prober,
    ProbeResult,
    ReportRegistry,
    ServiceClient,
    TargetDirectory,
)

_LATENESS_INTERVAL_SECONDS = 0.1
_GUARD_REFRESH_SECONDS = 0.5
_DRAIN_POLL_SECONDS = 0.05
# How long connections may stay idle once a stopping node accepts no more; the
# first request on a new one may still be on its way.
_LAST_REQUEST_SECONDS = 0.5
_MILLISECONDS = 1000
# After this time a node becomes ready even without reports on all instances.
_MAX_UNINFORMED_SECONDS = 8.0


class Node:
    """Builds, connects and runs the components of one node process."""

    def __init__(self, settings: NodeSettings) -> None:
        """Build the components; nothing runs until ``run``."""
        self._settings = settings
        self._is_stopping = False
        self._was_informed = False
        self._started_at = since_boot()
        self._metrics = Metrics()
        self._config = ActiveConfig()
        self._reports = ReportRegistry(settings.node_id)
        random_source = random.Random(f'{settings.seed}{settings.node_id}')
        self._platform = PlatformClient(settings.platform_endpoint)
        platform = self._platform
        self._directory = TargetDirectory(
            settings.failure_domain, self._reports
        )
        shares = LimitShares()
        self._peering = Peering.from_settings(
            settings,
            self._directory,
            self._config,
            shares,
            random_source,
        )
        self._control_plane = ControlPlane.from_settings(
            settings,
            platform,
            self._reports,
            self._config,
            random_source,
            self._directory.evacuations,
        )
        self._instances = InstanceListPoller(
            platform, None, self._replace_instances
        )
        self._prober = Prober(
            self._reports,
            self._peering.state.probed_instances,
            random_source,
            self._publish_probe,
        )
        self._admission = Admission(
            Capacity(),
            shares,
            TokenRateLimiter(shares.share),
        )
        self._guard = self._peering.make_guard(self._reports)
        gateway = Gateway(
            self._config.declarations,
            Router(
                self._directory,
                random_source,
                policy_from_name(settings.routing_policy),
            ),
            EngineClient(evacuations=self._directory.evacuations),
            ServiceClient(self._directory.evacuations),
            ClaimStore(settings.node_id, WriteBatcher(platform)),
            self._admission,
            self._metrics.observe_request,
            self._guard,
        )
        memory = RequestMemory()
        self._client_server = HttpServer(
            settings.client_listen_address,
            gateway.handle,
            memory=memory,
            partial=PartialRequests(gateway.handle, gateway.admits_head),
        )
        self._admin_server = HttpServer(
            settings.operator_listen_address,
            self._control_plane.admin(
                self._is_ready,
                self._status,
                self._metrics_text,
            ).handle,
            memory=memory,
        )

    async def run(self) -> None:
        """Serve until a stop signal, then let running requests finish."""
        async with stop_signal() as stop, curio.TaskGroup(wait=any) as tasks:
            for component in (
                self._client_server,
                self._admin_server,
                self._peering,
                self._control_plane,
                self._instances,
                self._prober,
            ):
                await tasks.spawn(component.run)
            await tasks.spawn(self._measure_loop_lateness)
            await tasks.spawn(self._refresh_guard)
            await tasks.spawn(self._wait_for_stop, stop)
        self._peering.close()
        raise_first_error(tasks)
        log_decision('node_stopped', node=self._settings.node_id)

    async def _wait_for_stop(self, stop: StopSignal) -> None:
        await stop.wait()
        self._is_stopping = True
        log_decision('node_stopping', in_flight=self._admission.in_progress)
        self._peering.state.stop()
        await self._control_plane.hand_over()
        # The load balancer needs some time to notice that the node is not ready.
        await curio.sleep(self._settings.ready_off_ms / _MILLISECONDS)
        self._client_server.disable_keep_alive()
        deadline = since_boot() + self._settings.stop_grace_ms / _MILLISECONDS
        while self._admission.in_progress and since_boot() < deadline:
            await curio.sleep(_DRAIN_POLL_SECONDS)
        await self._finish_connections(deadline)

    async def _finish_connections(self, deadline: float) -> None:
        """Answer the requests on connections that have been accepted."""
        await self._client_server.stop_listening()
        idle_until = since_boot() + _LAST_REQUEST_SECONDS
        while self._client_server.connection_count and since_boot() < deadline:
            if since_boot() >= idle_until:
                await self._client_server.close_idle()
            await curio.sleep(_DRAIN_POLL_SECONDS)

    async def _measure_loop_lateness(self) -> None:
        while True:
            due = awake_seconds() + _LATENESS_INTERVAL_SECONDS
            await curio.sleep(_LATENESS_INTERVAL_SECONDS)
            lateness = awake_seconds() - due
            self._metrics.loop_lateness_ms.record(lateness * _MILLISECONDS)

    async def _refresh_guard(self) -> None:
        while True:
            await curio.sleep(_GUARD_REFRESH_SECONDS)
            self._guard.refresh(())

    def _replace_instances(self, instances: Sequence[Instance]) -> None:
        self._peering.state.replace_instances(
            instance
            for instance in instances
            if instance.kind is not InstanceKind.NODE
        )
        self._peering.gossip_protocol.replace_listed_addresses(
            [
                str(instance.address)
                for instance in instances
                if instance.kind is InstanceKind.NODE
            ],
        )

    def _publish_probe(self, instance_id: str, probe: ProbeResult) -> None:
        body = msgspec.to_builtins(probe)
        self._peering.gossip_protocol.publish(Topic.REPORT, instance_id, body)

    def _metrics_text(self) -> bytes:
        counts = {
            **self._peering.counts(),
            **self._guard.counts(),
            'platform_reads': self._platform.reads,
            'platform_writes': self._platform.writes,
        }
        for name, number in counts.items():
            self._metrics.control.set(number, {'what': name})
        self._metrics.serving_replicas.set(
            len(self._reports.serving_replicas())
        )
        self._metrics.set_evacuations(self._directory.evacuations.known())
        self._metrics.config_version.set(self._config.release.version)
        return self._metrics.text()

    def _is_ready(self) -> bool:
        if self._is_stopping or self._config.declarations() is None:
            return False
        # Once a node has had reports, it stays ready, even if they are lost.
        domain = self._settings.failure_domain
        is_overdue = since_boot() - self._started_at > _MAX_UNINFORMED_SECONDS
        self._was_informed = (
            self._was_informed
            or is_overdue
            or self._reports.is_informed(domain)
        )
        return self._was_informed

    def _status(self) -> NodeStatus:
        return NodeStatus(
            self._settings.node_id,
            self._settings.failure_domain,
            self._is_ready(),
            self._config.release.version,
            self._control_plane.duties(),
            tuple(self._directory.replicas()),
            tuple(self._directory.service_ids()),
            dict(self._peering.members.all_members()),
            {
                **self._directory.versions_by_domain(),
                self._settings.failure_domain: self._peering.state.versions(),
            },
            self._admission.in_progress,
            tuple(sorted(self._directory.evacuations.active())),
        )
