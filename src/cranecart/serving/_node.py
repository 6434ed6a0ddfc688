"""A node on a deployment's platform: start, serve and stop."""

import random

import curio

from cranecart.clocks import SuspensionWatch, since_boot
from cranecart.fleet import Fleet, ReplicaRecord, mark_leaving
from cranecart.forwarding import (
    SENDING_SECONDS,
    CallForwarder,
    PeerGateway,
    RoutedGateway,
    Sender,
    StartupGate,
)
from cranecart.http import (
    Address,
    HttpServer,
    PartialRequests,
    Request,
    RequestMemory,
    Responder,
)
from cranecart.logs import LogQueue, log_decision, set_log_level
from cranecart.mesh import Broken, Mesh, MeshCallbacks, Stopped, Suspect
from cranecart.models import ClientLimits, RouteConfig
from cranecart.routing import TargetRouter
from cranecart.serving._active_config import ActiveRouteConfig
from cranecart.serving._endpoints import (
    MetricsEndpoint,
    ReadyEndpoint,
    RequestStatistics,
)
from cranecart.serving._factories import (
    make_cold_entries,
    make_connection_gate,
    make_dialer,
    make_mesh,
    make_resume_guard,
    make_retry_budget,
    make_target_connections,
    make_throttle,
    retry_limits,
    server_limits,
)
from cranecart.serving._followers import PlatformFollowers, RowDispatcher
from cranecart.serving._node_demand import NodeDemand
from cranecart.serving._node_registration import NodeRegistration
from cranecart.serving._peer_requests import PeerRequests, make_peer_choice
from cranecart.serving._placer_host import PlacerDependencies, PlacerHost
from cranecart.serving._platform_adapters import PlatformAdapters
from cranecart.serving._quarantine import NodeQuarantine
from cranecart.settings import LiveSettings
from cranecart.signals import StopSignal, raise_first_error, stop_signal

# The part of the grace period that is reserved for aborting requests that cannot
# finish in time.
_ABORT_RESERVE_SECONDS = 0.6
_DRAIN_POLL_SECONDS = 0.05
_HOUSEKEEPING_SECONDS = 0.5
_MILLISECONDS = 1000
# Counters are logged every ten seconds, that is every 20 housekeeping iterations.
_COUNTER_LOG_ITERATIONS = 20


class ServingNode:
    """Builds, connects and runs the components of one node process."""

    def __init__(
        self, live_settings: LiveSettings, log_queue: LogQueue
    ) -> None:
        """Build the components; nothing runs until ``run``."""
        settings = live_settings.current
        self._log_queue = log_queue
        self._live_settings = live_settings
        self._is_stopping = False
        self._suspension_watch = SuspensionWatch()
        self._resume_guard = make_resume_guard(settings)
        self._request_statistics = RequestStatistics()
        self._random_source = random.Random()
        self._active_config = ActiveRouteConfig()
        self._fleet = Fleet()
        self._dialer = make_dialer(self._fleet, lambda: self._mesh)
        self._platform_adapters = PlatformAdapters.from_settings(
            settings, self._dialer
        )
        self._registration = NodeRegistration(
            settings,
            self._platform_adapters.table,
            bool(settings.cold_overshoot),
        )
        self._router = TargetRouter(
            self._fleet,
            self._random_source,
            lambda name: self._mesh.in_flight_elsewhere(name),
            lambda model: self._node_demand.mean_seconds(model),
            settings.failure_domain,
            report_broken=lambda incarnation: self._mesh.publish(
                Broken(settings.node_id, incarnation.id, incarnation.born),
            ),
            throttle=make_throttle(
                settings,
                self._fleet,
                lambda: self._mesh,
                self._active_config.cold_start,
            ),
            dialer=self._dialer,
        )
        self._node_demand = NodeDemand(self._router.shortage.exchange)
        self._router.paces.is_enabled = settings.learns_pace
        self._retry_budget = make_retry_budget(
            settings,
            lambda: self._mesh,
            lambda: self._followers.is_informed,
            lambda: self._registration.registered_at,
        )
        self._mesh = self._make_mesh()
        self._quarantine = NodeQuarantine.for_node(
            settings.node_id,
            self._platform_adapters.table,
            self._fleet,
            lambda: self._mesh,
            self._dialer,
        )
        self._followers = PlatformFollowers.from_adapters(
            self._platform_adapters,
            self._active_config,
            RowDispatcher(
                self._mesh,
                self._fleet,
                self._quarantine.rows,
                self._registration,
                make_cold_entries(
                    self._router.throttle, self._active_config, self._mesh
                ),
            ),
            self._random_source,
            settings.leaving_ms / _MILLISECONDS,
        )
        self._placer_host = PlacerHost(
            PlacerDependencies(
                settings,
                self._platform_adapters,
                self._fleet,
                self._mesh,
                self._active_config,
                self._followers,
                self._report_stopped,
                self._router.throttle.cold_seconds,
                self._dialer,
            ),
        )
        self._target_connections = make_target_connections(
            settings, self._dialer
        )
        forwarder = self._make_forwarder()
        peer_choice = make_peer_choice(
            settings, self._mesh, self._random_source
        )
        self._request_memory = RequestMemory.from_megabytes(
            settings.max_requests_mb, settings.memory_mb
        )
        self._peer_requests = PeerRequests.for_node(
            settings,
            PeerGateway(
                self._active_config.current,
                forwarder,
                self._retry_budget,
                self._quarantine.guard,
                self._random_source,
                peer_choice.knowledge,
            ),
            peer_choice,
            lambda: self._is_informed() and not self._is_stopping,
            self._request_memory,
        )
        self._gateway = self._make_gateway(forwarder)
        self._connection_gate = make_connection_gate(
            self._mesh, self._peer_requests.client.choice
        )
        self._client_server = HttpServer(
            Address.from_text(settings.client_address),
            self._serve,
            server_limits(settings, ClientLimits()),
            self._connection_gate.admits,
            memory=self._request_memory,
            partial=PartialRequests(self._serve, self._gateway.admits_head),
        )
        self._ready_server = HttpServer(
            Address.from_text(settings.ready_address),
            ReadyEndpoint(self._is_ready).handle,
            memory=self._request_memory,
        )
        self._metrics_server = HttpServer(
            Address.from_text(settings.metrics_address),
            MetricsEndpoint(
                self._request_statistics,
                self._counters,
                self._fleet,
                self._active_config,
            ).handle,
            memory=self._request_memory,
        )
        self._active_config.subscribe(self._apply_client_limits)

    async def run(self) -> None:
        """Serve until a stop signal, then let running requests finish."""
        log_decision(
            'node_started',
            failure_domain=self._live_settings.current.failure_domain,
            first_start=self._live_settings.current.first_start,
        )
        signals = stop_signal(self._reload)
        async with signals as stop, curio.TaskGroup(wait=any) as tasks:
            for component in (
                self._log_queue.run,
                self._client_server.run,
                self._ready_server.run,
                self._metrics_server.run,
                self._peer_requests.run,
                self._mesh.run,
                self._followers.run,
                self._placer_host.run,
                self._run_housekeeping,
            ):
                await tasks.spawn(component)
            await curio.spawn(self._registration.register, daemon=True)
            await tasks.spawn(self._wait_for_stop, stop)
        if tasks.exception is not None:
            log_decision('node_failed', why=repr(tasks.exception))
        # Each of those that are left logs how far it has come.
        async with curio.TaskGroup() as ending:
            await ending.spawn(self._gateway.in_progress.cut_off)
            await ending.spawn(self._peer_requests.cut_off)
        self._mesh.close()
        raise_first_error(tasks)
        log_decision('node_stopped')
        self._log_queue.write_queued()

    def _make_mesh(self) -> Mesh:
        callbacks = MeshCallbacks(
            self._apply_stopped,
            self._apply_suspect,
            lambda message: self._quarantine.merge_remote(message),
            lambda update: self._followers.apply_list_update(update),
            lambda update: self._followers.apply_record_update(update),
            self._router.in_flight_counts,
            self._active_config.current,
            self._active_config.apply_from_peer,
            self._update_local_state,
            lambda message: self._router.broken.apply_report(
                message.incarnation
            ),
            lambda message: self._router.throttle.merge_updates(
                message.limits, message.sender, message.cold
            ),
            lambda message: mark_leaving(
                self._fleet, message.incarnation, message.sender
            ),
            self._fleet.evacuations.merge,
            self._node_demand.receive,
            on_slow_targets=self._router.paces.merge,
            lend_retries=self._retry_budget.lend,
            on_retry_loan=lambda loan: self._retry_budget.add_loan(
                loan.service, loan.amount, loan.requested_at
            ),
        )
        return make_mesh(self._live_settings.current, callbacks)

    def _make_forwarder(self) -> CallForwarder:
        return CallForwarder(
            Sender(
                self._platform_adapters.call_form,
                self._router,
                self._target_connections,
                self._fleet.is_stopped,
                self._report_suspect,
                self._resume_guard,
            )
        )

    def _make_gateway(self, forwarder: CallForwarder) -> RoutedGateway:
        return RoutedGateway(
            self._active_config.current,
            forwarder,
            self._retry_budget,
            self._quarantine.guard,
            self._random_source,
            self._request_statistics.observe_request,
            lambda: self._live_settings.current.log_successes,
            self._node_demand.record_request,
            self._node_demand.record_work,
            StartupGate(self._is_informed),
            self._peer_requests.peers_of_call,
        )

    async def _serve(self, request: Request, responder: Responder) -> None:
        self._mesh.local.requests += 1
        await self._gateway.handle(request, responder)

    async def _run_housekeeping(self) -> None:
        iteration = 0
        while True:
            iteration += 1
            await curio.sleep(_HOUSEKEEPING_SECONDS)
            if self._live_settings.reload_if_changed():
                self._apply_settings()
            if iteration % _COUNTER_LOG_ITERATIONS == 0:
                log_decision('figures', **self._counters())
            self._fleet.process_timeouts()
            listed_incarnations = self._fleet.instance_list.incarnations()
            await self._target_connections.close_expired(listed_incarnations)
            self._router.forecast_errors.prune(listed_incarnations)
            self._router.throttle.refresh(listed_incarnations)
            self._router.paces.refresh(listed_incarnations)
            self._dialer.paths.prune(listed_incarnations)
            if not self._dialer.paths.is_impaired:
                await self._peer_requests.client.close_idle()
            await self._quarantine.refresh()
            if self._registration.needs_registration:
                await curio.spawn(self._registration.register, daemon=True)

    def _update_local_state(self) -> None:
        """Update the local state before it is sent in a heartbeat."""
        suspended_seconds = self._suspension_watch.slept_seconds()
        if suspended_seconds:
            # The clock of leases, deadlines and ages runs during suspension.
            log_decision(
                'node_was_suspended', seconds=round(suspended_seconds, 3)
            )
        self._resume_guard.record_awake(since_boot())
        self._retry_budget.refresh()
        self._mesh.local.evacuations = list(self._fleet.evacuations.known())
        self._mesh.local.placer_domain = self._placer_host.held_failure_domain
        self._mesh.local.source_versions = self._followers.announced_versions()
        roster = self._mesh.state.roster
        self._mesh.local.is_established = self._registration.is_established(
            hears_all_peers=roster.live_count() == len(roster.peers)
        )
        self._node_demand.update(self._mesh.local)
        self._mesh.local.slow_targets = self._router.paces.report()

    def _reload(self) -> None:
        if self._live_settings.reload('requested by a signal'):
            self._apply_settings()

    def _apply_settings(self) -> None:
        settings = self._live_settings.current
        self._retry_budget.limits = retry_limits(settings)
        set_log_level(settings.log_level)

    async def _wait_for_stop(self, stop: StopSignal) -> None:
        await stop.wait()
        stopping_since = since_boot()
        self._is_stopping = True
        grace_ends_at = (
            stopping_since
            + self._live_settings.current.stop_grace_seconds
            - _ABORT_RESERVE_SECONDS
        )
        self._gateway.in_progress.stop_gate.stop(stopping_since, grace_ends_at)
        self._mesh.local.stopping = True
        log_decision('node_stopping', in_flight=self._in_flight())
        self._client_server.disable_keep_alive()
        await self._placer_host.hand_over()
        self._mesh.broadcast(self._mesh.message_sender.build_heartbeat())
        await self._registration.withdraw()
        await self._drain(stopping_since, grace_ends_at)

    async def _drain(self, stopping_since: float, grace_ends_at: float) -> None:
        while since_boot() < grace_ends_at:
            await curio.sleep(_DRAIN_POLL_SECONDS)
            if since_boot() - stopping_since < SENDING_SECONDS:
                continue
            # With too few ready nodes, a load balancer keeps sending to all of
            # them; requests that arrive from now on could not be finished.
            await self._client_server.stop_listening()
            await self._client_server.close_idle()
            await self._peer_requests.stop()
            if not self._in_flight():
                return
        log_decision('stopped_with_requests', in_flight=self._in_flight())

    def _in_flight(self) -> int:
        return self._gateway.in_flight + self._peer_requests.in_flight

    def _counters(self) -> dict[str, int]:
        return {
            **self._mesh.counts(),
            **self._platform_adapters.store_call_counts,
            **self._quarantine.guard.counts(),
            'requests': self._gateway.received_count,
            'requests_read_late': self._gateway.read_late_count,
            'unread_responses_cut': self._client_server.unread.cut_count,
            'unread_bytes': self._client_server.unread.held_bytes,
            'connections_closed_unread': self._connection_gate.closed_unread,
            'target_connections': self._target_connections.opened,
            **self._dialer.paths.counts(),
            **self._peer_requests.counts(),
            **self._retry_budget.counts(),
            **self._target_connections.memory.counts(),
            **self._request_memory.counts(),
            'uneven_connections': self._target_connections.desynchronized,
            'log_bytes': self._log_queue.written_bytes,
            'log_lines_dropped': self._log_queue.dropped,
            'liveness_checks': self._placer_host.liveness_check_count,
            **self._router.throttle.counts(),
            'evacuated_domains': len(self._fleet.evacuations.active()),
            'evacuation_changes': self._fleet.evacuations.changes,
            'evacuated_choices': self._fleet.evacuations.withdrawn,
            **self._router.shortage.counts(),
            **self._router.paces.counts(),
        }

    def _is_informed(self) -> bool:
        """Return whether configuration, list and records were read."""
        is_configured = self._active_config.current() is not None
        return is_configured and self._followers.is_informed

    def _is_ready(self) -> bool:
        has_room = not self._client_server.is_full
        return (
            self._is_informed()
            and has_room
            and not self._is_stopping
            and not self._peer_requests.is_cut_off(self._dialer.paths)
        )

    def _apply_client_limits(self, config: RouteConfig) -> None:
        self._client_server.limits = server_limits(
            self._live_settings.current, config.limits
        )
        self._peer_requests.apply_client_limits(
            self._live_settings.current, config
        )
        self._mesh.send_heartbeat_now()

    def _report_stopped(
        self,
        record: ReplicaRecord,
        reason: str,
        finishes: bool,
    ) -> None:
        message = Stopped(
            self._live_settings.current.node_id,
            record.name,
            record.epoch,
            reason,
            finishes,
        )
        if self._apply_stopped(message):
            self._mesh.publish_stopped(message)

    async def _report_suspect(
        self,
        replica_epoch: tuple[str, int],
        evidence: str,
    ) -> None:
        self._mesh.send_to_placer(
            self._fleet.failure_domain_of(replica_epoch),
            Suspect(
                self._live_settings.current.node_id, *replica_epoch, evidence
            ),
        )
        await self._placer_host.suspect(replica_epoch, evidence, 'this node')

    def _apply_stopped(self, message: Stopped) -> bool:
        replica_epoch = (message.replica, message.epoch)
        if message.finishes:
            return self._fleet.mark_closing(replica_epoch, message.reason)
        return self._fleet.mark_stopped(replica_epoch, message.reason)

    async def _apply_suspect(self, message: Suspect) -> None:
        replica_epoch = (message.replica, message.epoch)
        await self._placer_host.suspect(
            replica_epoch, message.evidence, message.sender
        )
