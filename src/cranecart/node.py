"""One node: all its tasks, wired together from its settings."""

import logging
import random
import time
from collections.abc import Collection, Sequence

import curio

from cranecart.claims import Claims
from cranecart.clients import Gateway
from cranecart.config import NodeSettings
from cranecart.duties import Lease
from cranecart.http import HttpServer
from cranecart.limits import Admission, Capacity
from cranecart.logs import decision
from cranecart.metrics import Metrics
from cranecart.models import Instance, InstanceKind, MemberReport
from cranecart.operators import AdminInterface, NodeStatus
from cranecart.placement import Placer
from cranecart.platform import PlatformClient, WriteBatcher
from cranecart.rollout import CurrentConfig, Follower, History
from cranecart.routing import Router
from cranecart.signals import StopSignal, raise_first_error, stop_signal
from cranecart.targets import (
    EngineClient,
    InstanceFollower,
    Prober,
    ReportBook,
    ServiceClient,
)

_LOG = logging.getLogger(__name__)
_LATENESS_SECONDS = 0.1
_DRAIN_POLL_SECONDS = 0.05
_MILLISECONDS = 1000


class Node:
    """Everything that one process does."""

    def __init__(self, settings: NodeSettings) -> None:
        """Build the parts; nothing runs until ``run``."""
        self._settings = settings
        self._random = random.Random(f'{settings.seed}{settings.node_id}')
        self._metrics = Metrics()
        self._platform = PlatformClient(settings.platform)
        self._book = ReportBook()
        self._config = CurrentConfig()
        self._build_control()
        self._build_serving()
        self._stopping = False

    async def run(self) -> None:
        """Serve until told to stop, then stop without cutting anything."""
        async with stop_signal() as stop, curio.TaskGroup(wait=any) as tasks:
            for part in (
                self._client_server,
                self._admin_server,
                self._follower,
                self._instances,
                self._prober,
            ):
                await tasks.spawn(part.run)
            await tasks.spawn(self._placer.run, self._config.declarations)
            await tasks.spawn(self._watch_loop)
            await tasks.spawn(self._wait_for_stop, stop)
        raise_first_error(tasks)
        decision('node_stopped', node=self._settings.node_id)

    def _build_control(self) -> None:
        settings = self._settings
        history = History(self._platform)
        self._follower = Follower(
            self._config,
            history,
            self._platform,
            self._random,
        )
        self._instances = InstanceFollower(
            self._platform,
            None,
            self._take_list,
        )
        self._prober = Prober(
            self._book,
            self._probed,
            self._random,
            self._note_probe,
        )
        duty = f'placer/{settings.failure_domain}'
        self._placer = Placer(
            settings.failure_domain,
            Lease(duty, settings.node_id, self._platform),
            self._platform,
            self._book,
            EngineClient(),
        )
        admin = AdminInterface(
            settings.operator_key_sha256,
            history,
            self._config,
            self._follower,
            self._is_ready,
            self._status,
            self._metrics.text,
        )
        self._admin_server = HttpServer(settings.operators, admin.handle)

    def _build_serving(self) -> None:
        settings = self._settings
        self._admission = Admission(Capacity(), self._share)
        gateway = Gateway(
            self._config.declarations,
            Router(settings.failure_domain, self._book, self._random),
            EngineClient(),
            ServiceClient(),
            Claims(settings.node_id, WriteBatcher(self._platform)),
            self._admission,
        )
        self._client_server = HttpServer(settings.clients, gateway.handle)

    async def _wait_for_stop(self, stop: StopSignal) -> None:
        await stop.wait()
        self._stopping = True
        decision('node_stopping', in_flight=self._admission.inside)
        await self._placer.lease.hand_over()
        # The balancer needs a while to see that the node is not ready.
        await curio.sleep(self._settings.ready_off_ms / _MILLISECONDS)
        self._client_server.refuse_new()
        deadline = (
            time.monotonic() + self._settings.stop_grace_ms / _MILLISECONDS
        )
        while self._admission.inside and time.monotonic() < deadline:
            await curio.sleep(_DRAIN_POLL_SECONDS)

    async def _watch_loop(self) -> None:
        while True:
            due = time.monotonic() + _LATENESS_SECONDS
            await curio.sleep(_LATENESS_SECONDS)
            lateness = time.monotonic() - due
            self._metrics.loop_lateness_ms.record(lateness * _MILLISECONDS)

    def _take_list(self, instances: Sequence[Instance]) -> None:
        self._book.replace_instances(
            instance
            for instance in instances
            if instance.kind is not InstanceKind.NODE
        )

    def _probed(self) -> Collection[str]:
        return list(self._book.instances)

    def _note_probe(
        self, instance_id: str, report: MemberReport | None
    ) -> None:
        _LOG.debug('%s reported %s', instance_id, report)

    def _share(self, organisation: str) -> float:
        return 1.0

    def _is_ready(self) -> bool:
        return not self._stopping and self._config.declarations() is not None

    def _status(self) -> NodeStatus:
        return NodeStatus(
            self._settings.node_id,
            self._settings.failure_domain,
            self._is_ready(),
            self._config.release.version,
            {self._placer.lease.duty: self._placer.lease.holder},
            tuple(
                {
                    'replica': replica.id,
                    'generation': replica.generation,
                    'model_key': f'{replica.model}@{replica.version}',
                    'members': replica.members,
                    'running': replica.running,
                }
                for replica in self._book.serving()
            ),
            tuple(self._book.open_services()),
            (),
            self._admission.inside,
        )
