"""One node on a platform: start, serve, stop."""

import random

import curio

from cranecart.clocks import SuspensionWatch, since_boot
from cranecart.demand import DemandMeter
from cranecart.fleet import Fleet, ReplicaRecord, mark_leaving
from cranecart.forwarding import (
    RoutedCall,
    RoutedGateway,
    Sender,
    StartupGate,
    TargetConnectionPool,
)
from cranecart.http import (
    Address,
    HttpServer,
    Request,
    Responder,
)
from cranecart.logs import LineQueue, decision, set_log_level
from cranecart.mesh import Broken, Mesh, MeshCallbacks, Stopped, Suspect
from cranecart.models import ClientLimits, RouteConfig
from cranecart.retries import SharedRetryBudget
from cranecart.routing import TargetRouter
from cranecart.serving._active_config import ActiveRouteConfig
from cranecart.serving._endpoints import (
    MetricsEndpoint,
    ReadyEndpoint,
    RequestStatistics,
)
from cranecart.serving._factories import (
    make_mesh,
    make_throttle,
    retry_limits,
    server_limits,
)
from cranecart.serving._followers import PlatformFollowers, RowDispatcher
from cranecart.serving._node_registry import NodeRegistry
from cranecart.serving._placer_host import PlacerDependencies, PlacerHost
from cranecart.serving._platform_adapters import PlatformAdapters
from cranecart.serving._quarantine import NodeQuarantine
from cranecart.settings import LiveSettings
from cranecart.signals import StopSignal, raise_first_error, stop_signal

# The balancer takes a node out after two missed questions a second apart.
_LISTEN_WHILE_STOPPING_SECONDS = 3.0
# What is left of the grace for breaking off what cannot end in time.
_ABORT_RESERVE_SECONDS = 0.6
_DRAIN_POLL_SECONDS = 0.05
_HOUSEKEEPING_SECONDS = 0.5
_MILLISECONDS = 1000
# The counters are logged every ten seconds.
_COUNTER_LOG_TURNS = 20


class ServingNode:
    """Everything that one process does on a platform."""

    def __init__(self, live: LiveSettings, lines: LineQueue) -> None:
        """Build the parts; nothing runs until ``run``."""
        settings = live.current
        self._lines = lines
        self._live = live
        self._stopping = False
        self._suspensions = SuspensionWatch()
        self._request_statistics = RequestStatistics()
        self._random = random.Random()
        self._config = ActiveRouteConfig()
        self._fleet = Fleet()
        self._demand = DemandMeter()
        self._platform_adapters = PlatformAdapters.from_settings(settings)
        self._node_registry = NodeRegistry(
            settings, self._platform_adapters.table
        )
        self._router = TargetRouter(
            self._fleet,
            self._random,
            lambda name: self._mesh.in_flight_elsewhere(name),
            self._demand.mean_seconds,
            settings.failure_domain,
            report_broken=lambda incarnation: self._mesh.publish(
                Broken(settings.node_id, incarnation.id, incarnation.born),
            ),
            throttle=make_throttle(
                settings.node_id, self._fleet, lambda: self._mesh
            ),
        )
        self._mesh = self._make_mesh()
        self._quarantine = NodeQuarantine.for_node(
            settings.node_id,
            self._platform_adapters.table,
            self._fleet,
            lambda: self._mesh,
        )
        self._followers = PlatformFollowers.from_adapters(
            self._platform_adapters,
            self._config,
            RowDispatcher(
                self._mesh,
                self._fleet,
                self._quarantine.rows,
                self._node_registry,
            ),
            self._random,
            settings.leaving_ms / _MILLISECONDS,
        )
        self._placer_host = PlacerHost(
            PlacerDependencies(
                settings,
                self._platform_adapters,
                self._fleet,
                self._mesh,
                self._config,
                self._followers,
                self._report_stopped,
            ),
        )
        self._connections = TargetConnectionPool()
        self._budget = SharedRetryBudget(
            retry_limits(settings),
            self._mesh.live_node_count,
        )
        self._gateway = self._make_gateway()
        self._client_server = HttpServer(
            Address.from_text(settings.client_address),
            self._serve,
            server_limits(settings, ClientLimits()),
        )
        self._ready_server = HttpServer(
            Address.from_text(settings.ready_address),
            ReadyEndpoint(self._is_ready).handle,
        )
        self._metrics_server = HttpServer(
            Address.from_text(settings.metrics_address),
            MetricsEndpoint(
                self._request_statistics,
                self._counters,
                self._fleet,
                self._config,
            ).handle,
        )
        self._config.subscribe(self._apply_client_limits)

    async def run(self) -> None:
        """Serve until told to stop, then stop without cutting anything."""
        decision(
            'node_started',
            failure_domain=self._live.current.failure_domain,
            first_start=self._live.current.first_start,
        )
        signals = stop_signal(self._reload)
        async with signals as stop, curio.TaskGroup(wait=any) as tasks:
            for part in (
                self._lines.run,
                self._client_server.run,
                self._ready_server.run,
                self._metrics_server.run,
                self._mesh.run,
                self._followers.run,
                self._placer_host.run,
                self._run_housekeeping,
            ):
                await tasks.spawn(part)
            await curio.spawn(self._node_registry.register, daemon=True)
            await tasks.spawn(self._wait_for_stop, stop)
        self._mesh.close()
        raise_first_error(tasks)
        decision('node_stopped')
        self._lines.write_now()

    def _make_mesh(self) -> Mesh:
        events = MeshCallbacks(
            self._apply_stopped,
            self._apply_suspect,
            lambda message: self._quarantine.merge_remote(message),
            lambda news: self._followers.apply_list_update(news),
            lambda news: self._followers.apply_record_update(news),
            self._router.in_flight_counts,
            self._config.current,
            self._config.apply_from_peer,
            self._update_local_state,
            lambda told: self._router.eject_reported(told.incarnation),
            lambda told: self._router.throttle.merge_updates(
                told.limits, told.sender
            ),
            lambda told: mark_leaving(
                self._fleet, told.incarnation, told.sender
            ),
        )
        return make_mesh(self._live.current, events)

    def _make_gateway(self) -> RoutedGateway:
        sender = Sender(
            self._platform_adapters.call_form,
            self._router,
            self._connections,
            self._fleet.is_stopped,
            self._report_suspect,
        )
        return RoutedGateway(
            self._config.current,
            sender,
            self._budget,
            self._quarantine.guard,
            self._random,
            self._request_statistics.observe_request,
            lambda: self._live.current.log_successes,
            self._record_demand,
            self._record_work,
            StartupGate(self._is_informed),
        )

    async def _serve(self, request: Request, responder: Responder) -> None:
        self._mesh.local.requests += 1
        await self._gateway.handle(request, responder)

    def _record_demand(self, call: RoutedCall) -> None:
        if call.facts.model:
            self._demand.note_request(call.facts.model)

    def _record_work(self, call: RoutedCall, events: int) -> None:
        facts = call.facts
        engine = call.config.engine(call.service)
        model = None if engine is None else engine.model(facts.model)
        if engine is None or model is None:
            return
        work = engine.timing.work_seconds(
            events,
            facts.prompt_tokens,
            engine.slots,
        )
        self._demand.note_work(facts.model, work * model.pace)

    async def _run_housekeeping(self) -> None:
        turn = 0
        while True:
            turn += 1
            await curio.sleep(_HOUSEKEEPING_SECONDS)
            if self._live.look():
                self._apply_settings()
            if turn % _COUNTER_LOG_TURNS == 0:
                decision('figures', **self._counters())
            self._fleet.process_timeouts()
            listed = self._fleet.instance_list.incarnations()
            await self._connections.close_expired(listed)
            self._router.forecast_errors.prune(listed)
            self._router.throttle.refresh(listed)
            await self._quarantine.refresh()
            if self._node_registry.is_missing:
                await curio.spawn(self._node_registry.register, daemon=True)

    def _update_local_state(self) -> None:
        """Bring up to date what the next beat tells."""
        suspended_seconds = self._suspensions.slept_seconds()
        if suspended_seconds:
            # Leases, deadlines and ages go by a clock that counted it.
            decision('node_was_suspended', seconds=round(suspended_seconds, 3))
        self._mesh.local.placer_domain = self._placer_host.held_failure_domain
        self._mesh.local.source_versions = self._followers.announced_versions()
        self._mesh.local.demand = {
            model: round(replicas, 3)
            for model, replicas in self._demand.by_model().items()
        }

    def _reload(self) -> None:
        if self._live.reload('asked by a signal'):
            self._apply_settings()

    def _apply_settings(self) -> None:
        settings = self._live.current
        self._budget.limits = retry_limits(settings)
        set_log_level(settings.log_level)

    async def _wait_for_stop(self, stop: StopSignal) -> None:
        await stop.wait()
        started = since_boot()
        self._stopping = True
        self._mesh.local.stopping = True
        decision('node_stopping', in_flight=self._gateway.in_flight)
        self._client_server.disable_keep_alive()
        await self._placer_host.hand_over()
        self._mesh.broadcast(self._mesh.message_sender.build_beat())
        await self._node_registry.withdraw()
        await self._drain(started)

    async def _drain(self, started: float) -> None:
        grace = self._live.current.stop_grace_seconds - _ABORT_RESERVE_SECONDS
        while since_boot() - started < grace:
            await curio.sleep(_DRAIN_POLL_SECONDS)
            if since_boot() - started < _LISTEN_WHILE_STOPPING_SECONDS:
                continue
            # A balancer that has too few ready nodes goes on sending to all,
            # and what came later could not be finished.
            await self._client_server.stop_listening()
            await self._client_server.close_idle()
            if not self._gateway.in_flight:
                return
        decision('stopped_with_requests', in_flight=self._gateway.in_flight)

    def _counters(self) -> dict[str, int]:
        return {
            **self._mesh.counts(),
            **self._platform_adapters.store_call_counts,
            **self._quarantine.guard.counts(),
            'requests': self._gateway.received_count,
            'target_connections': self._connections.opened,
            'uneven_connections': self._connections.desynchronized,
            'log_bytes': self._lines.written_bytes,
            'log_lines_dropped': self._lines.dropped,
            'liveness_checks': self._placer_host.liveness_check_count,
            **self._router.throttle.counts(),
        }

    def _is_informed(self) -> bool:
        """Tell whether configuration, list and records were read."""
        is_configured = self._config.current() is not None
        return is_configured and self._followers.is_informed

    def _is_ready(self) -> bool:
        has_room = not self._client_server.is_full
        return self._is_informed() and has_room and not self._stopping

    def _apply_client_limits(self, config: RouteConfig) -> None:
        self._client_server.limits = server_limits(
            self._live.current, config.limits
        )
        self._mesh.send_beat_now()

    def _report_stopped(
        self,
        record: ReplicaRecord,
        reason: str,
        finishes: bool,
    ) -> None:
        message = Stopped(
            self._live.current.node_id,
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
            Suspect(self._live.current.node_id, *replica_epoch, evidence),
        )
        await self._placer_host.suspect(replica_epoch, evidence)

    def _apply_stopped(self, message: Stopped) -> bool:
        replica_epoch = (message.replica, message.epoch)
        if message.finishes:
            return self._fleet.mark_closing(replica_epoch, message.reason)
        return self._fleet.mark_stopped(replica_epoch, message.reason)

    async def _apply_suspect(self, message: Suspect) -> None:
        replica_epoch = (message.replica, message.epoch)
        await self._placer_host.suspect(replica_epoch, message.evidence)
