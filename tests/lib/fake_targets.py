"""Scripted targets and a gateway in the same process."""

import random
import socket
from collections.abc import Awaitable, Callable, Mapping, Sequence
from types import MappingProxyType
from typing import Any, Protocol

import attrs
import curio
import h11

from cranecart.exceptions import ConnectionBrokenError
from cranecart.fleet import (
    Fleet,
    RecordState,
    ReplicaRecord,
    mark_leaving,
)
from cranecart.forwarding import (
    CallForwarder,
    ResumeGuard,
    RoutedGateway,
    Sender,
    TargetConnectionPool,
)
from cranecart.http import (
    Address,
    Headers,
    HttpConnection,
    HttpServer,
    PartialRequests,
    Request,
    ServerLimits,
)
from cranecart.models import (
    EngineModel,
    EngineProfile,
    KeyHolder,
    Route,
    RouteConfig,
    ServiceProfile,
    Share,
    hash_key,
)
from cranecart.platform import PlatformCallTranslator
from cranecart.ports import Incarnation, ListedInstance, MemberPhase, Membership
from cranecart.quarantine import CaseUpdate, RequestGuard
from cranecart.reachability import TargetDialer, TargetPaths
from cranecart.retries import RetryLimits, SharedRetryBudget
from cranecart.routing import TargetRouter
from cranecart.throttling import CountSharingNodes, LimitUpdate, TargetThrottle

ENGINES = 'drafts'
PLAIN = 'crew'
MODEL = 'm'
HOST = 'a.example'
KEY = 'secret'
ORGANISATION = 'org'

_READ_BYTES = 65536
# Lets uploads pass that do not fit into the buffers of sockets.
SERVER_LIMITS = ServerLimits(body_bytes=8_388_608)

Script = Callable[['Exchange'], Awaitable[None]]


@attrs.define
class Exchange:
    """One request at a scripted target."""

    sock: curio.io.Socket
    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    async def answer(
        self,
        body: bytes,
        status: int = 200,
        request_id: str | None = None,
        signature: str = 'sig',
        extra: str = '',
    ) -> None:
        """Send a complete response."""
        answered_id = request_id or self.headers['request-id']
        signed = f'replica-signature: {signature}\r\n' if signature else ''
        head = (
            f'HTTP/1.1 {status} X\r\nrequest-id: {answered_id}\r\n{signed}{extra}'
            f'content-length: {len(body)}\r\n\r\n'
        )
        await self.sock.sendall(head.encode('latin-1') + body)

    async def start_stream(self, extra: str = '') -> None:
        """Send the head of a stream."""
        answered_id = self.headers['request-id']
        await self.sock.sendall(
            (
                f'HTTP/1.1 200 OK\r\nrequest-id: {answered_id}\r\n'
                f'replica-signature: sig\r\n{extra}'
                'content-type: text/event-stream\r\n'
                'transfer-encoding: chunked\r\n\r\n'
            ).encode(),
        )

    async def events(self, first: int, last: int) -> None:
        """Send some events, each in a chunk of its own."""
        for number in range(first, last + 1):
            await self.chunk(f'id: {number}\ndata: {number}\n\n'.encode())

    async def chunk(self, data: bytes) -> None:
        """Send one chunk."""
        await self.sock.sendall(b'%x\r\n%b\r\n' % (len(data), data))

    async def end_stream(self) -> None:
        """Send the final chunk."""
        await self.sock.sendall(b'0\r\n\r\n')


@attrs.define
class FakeTarget:
    """A server that runs a script for each request.

    ``received`` holds all requests, ``closed`` counts the connections that the
    gateway closed.
    """

    name: str
    script: Script
    received: list[Exchange] = attrs.field(factory=list)
    closed: int = 0
    _listener: socket.socket = attrs.field(
        factory=lambda: socket.create_server(('127.0.0.1', 0)),
    )

    @property
    def address(self) -> Address:
        """Return the address that it listens on."""
        return Address(*self._listener.getsockname()[:2])

    async def run(self) -> None:
        """Serve connections until cancelled."""
        listener = curio.io.Socket(self._listener)
        async with listener:
            while True:
                sock, _ = await listener.accept()
                await curio.spawn(self._serve, sock, daemon=True)

    async def _serve(self, sock: curio.io.Socket) -> None:
        parser = h11.Connection(h11.SERVER)
        async with sock:
            try:
                while await self._serve_one(sock, parser):
                    parser = h11.Connection(h11.SERVER)
            except OSError:
                self.closed += 1

    async def _serve_one(
        self,
        sock: curio.io.Socket,
        parser: h11.Connection,
    ) -> bool:
        events = await _read_events(sock, parser)
        if not events:
            self.closed += 1
            return False
        head = events[0]
        assert isinstance(head, h11.Request)
        chunks = [event.data for event in events if isinstance(event, h11.Data)]
        exchange = Exchange(
            sock,
            head.method.decode(),
            head.target.decode(),
            {
                name.decode(): text.decode('latin-1')
                for name, text in head.headers
            },
            b''.join(map(bytes, chunks)),
        )
        self.received.append(exchange)
        await self.script(exchange)
        return True


async def _read_events(
    sock: curio.io.Socket,
    parser: h11.Connection,
) -> list[h11.Event]:
    """Return the events of one request, none if the client closed."""
    events: list[h11.Event] = []
    while not events or not isinstance(events[-1], h11.EndOfMessage):
        event = parser.next_event()
        if isinstance(event, h11.Event):
            events.append(event)
            continue
        received = await sock.recv(_READ_BYTES)
        if not received:
            return []
        parser.receive_data(received)
    return events


class RunnableTarget(Protocol):
    """A target other than a scripted one."""

    @property
    def address(self) -> Address:
        """Return the address that it listens on."""

    async def run(self) -> None:
        """Serve until cancelled."""


@attrs.frozen
class ClientAnswer:
    """The response that a client received.

    ``is_complete`` is whether it was received to its end.
    """

    status: int
    headers: Headers
    body: bytes
    is_complete: bool


def route(name: str, **changes: Any) -> Route:
    """Return a route whose prefix is its name."""
    plain = Route(
        name=name,
        host=HOST,
        prefix=f'/{name}/',
        repeatable=True,
        streaming=False,
        resumable=False,
        timeout_seconds=2,
        objective_seconds=0.2,
        pause_seconds=0.2,
        rank=1,
        attempts=2,
        public=False,
        shares=(Share(PLAIN, 1),),
    )
    return attrs.evolve(plain, **changes)


_STREAM = MappingProxyType(
    {
        'streaming': True,
        'repeatable': False,
        'shares': (Share(ENGINES, 1),),
    },
)
CONFIG = RouteConfig(
    3,
    (
        route('safe'),
        route('unsafe', repeatable=False),
        route('brief', timeout_seconds=0.3),
        route('stream', resumable=True, timeout_seconds=6, **_STREAM),
        route('once', **_STREAM),
        route('open', public=True),
    ),
    {
        PLAIN: ServiceProfile(PLAIN),
        ENGINES: ServiceProfile(
            ENGINES,
            EngineProfile((EngineModel(MODEL, 1, 1, 1, 1, 1),), 13, 0.3, 1, 1),
        ),
    },
    (KeyHolder(ORGANISATION, (hash_key(KEY),)),),
)


class GatewayTestbed:
    """A gateway with scripted targets, all in one event loop."""

    def __init__(
        self,
        *scripts: Script,
        service: str = ENGINES,
        retries: float = 100,
        other_targets: Mapping[str, RunnableTarget] | None = None,
        seed: int = 1,
    ) -> None:
        """Create a target for each script; ``run`` starts them.

        ``other_targets`` are targets that do not follow scripts, by instance.
        """
        self.targets: list[FakeTarget] = [
            FakeTarget(f'i{number}', script)
            for number, script in enumerate(scripts)
        ]
        self._all_targets: dict[str, RunnableTarget] = {
            **{target.name: target for target in self.targets},
            **(other_targets or {}),
        }
        self.config: RouteConfig | None = CONFIG
        self.service = service
        self.fleet = Fleet()
        self.evidence: list[str] = []
        instances = {
            name: instance(name, target.address, service)
            for name, target in self._all_targets.items()
        }
        self.fleet.apply_instances(instances, True)
        records = (
            ReplicaRecord(
                name,
                1,
                ENGINES,
                MODEL,
                'east',
                'east-0',
                (name,),
                RecordState.SERVING,
            )
            for name in instances
        )
        self.fleet.apply_records(
            {record.key: record for record in records}, True
        )
        source = random.Random(seed)
        # Instances that were reported as broken to all nodes.
        self.reported_broken: list[str] = []
        # How the node shares targets with other nodes and informs them.
        self.sharing_node_count: CountSharingNodes = _share_with_nobody
        self.publish_limits: Callable[[Sequence[LimitUpdate]], None] = (
            _publish_to_nobody
        )
        self.publish_leaving: Callable[[Incarnation], None] = _publish_to_nobody
        # Returns the requests that other nodes have at an instance.
        self.remote_in_flight: Callable[[str], int] = lambda _name: 0
        self.router = TargetRouter(
            self.fleet,
            source,
            lambda name: self.remote_in_flight(name),
            lambda _model: 0.1,
            'east',
            report_broken=lambda incarnation: self.reported_broken.append(
                incarnation.id
            ),
            throttle=self._make_throttle(),
            dialer=TargetDialer(
                TargetPaths(lambda: self.fleet.instances.values())
            ),
        )
        self.connections = TargetConnectionPool(dialer=self.router.dialer)
        self.resume_guard = ResumeGuard()
        # Called with updates on requests that crash targets.
        self.publish_cases: Callable[[Sequence[CaseUpdate]], None] = (
            _publish_to_nobody
        )
        self.guard = RequestGuard(
            lambda runner: runner.id not in self.fleet.instances,
            lambda cases: self.publish_cases(cases),
            has_terminated=self._has_ended,
        )
        self.budget = SharedRetryBudget(
            RetryLimits(retries / 500, retries, 10), lambda: 1
        )
        self.gateway = RoutedGateway(
            lambda: self.config,
            CallForwarder(
                Sender(
                    PlatformCallTranslator(),
                    self.router,
                    self.connections,
                    self.fleet.is_stopped,
                    self._record_evidence,
                    self.resume_guard,
                )
            ),
            self.budget,
            self.guard,
            source,
            lambda _outcome, _seconds: None,
            float,
            lambda _call: None,
            lambda _call, _events: None,
        )
        self.server = HttpServer(
            Address('127.0.0.1', 0),
            self.gateway.handle,
            SERVER_LIMITS,
            partial=PartialRequests(
                self.gateway.handle, self.gateway.admits_head
            ),
        )

    async def run(
        self,
        scenario: Callable[['GatewayTestbed'], Awaitable[None]],
    ) -> None:
        """Run the targets and the gateway while a scenario runs."""
        self.server.open()
        tasks = [
            await curio.spawn(target.run)
            for target in self._all_targets.values()
        ]
        tasks.append(await curio.spawn(self.server.run))
        try:
            await scenario(self)
        finally:
            for task in tasks:
                await task.cancel()

    async def ask(
        self,
        path: str,
        *,
        key: str = KEY,
        body: bytes = b'abc',
        deadline_ms: int = 3000,
        request_id: str = 'r1',
        segments: Sequence[str] = (),
    ) -> ClientAnswer:
        """Send a request to the gateway as a client does."""
        connection = await HttpConnection.open(self.server.address)
        request = client_request(path, key, body, deadline_ms, request_id)
        if segments:
            listed = ','.join(f'{segment}:100' for segment in segments)
            headers = {**request.headers, 'prefix-hash': listed}
            request = attrs.evolve(request, headers=headers)
        try:
            return await _read_answer(connection, request)
        finally:
            await connection.close()

    def make_unreachable(self, name: str) -> None:
        """Change a target's listed address to one where nothing listens."""
        listed = self.fleet.instances[name]
        unreachable = attrs.evolve(
            listed, address=Address(listed.address.host, 1)
        )
        self.fleet.apply_instances({name: unreachable}, False)

    def _make_throttle(self) -> TargetThrottle:
        return TargetThrottle(
            lambda domain, name, max_nodes: self.sharing_node_count(
                domain, name, max_nodes
            ),
            self.fleet.find_instance,
            lambda limits: self.publish_limits(limits),
            self._note_leaving,
            self.fleet.instance_list.is_leaving,
        )

    def _has_ended(self, incarnation: Incarnation) -> bool:
        listed = self.fleet.instances.get(incarnation.id)
        return listed is None or listed.incarnation.differs_from(incarnation)

    def _note_leaving(self, incarnation: Incarnation) -> None:
        if mark_leaving(self.fleet, incarnation, 'an answer'):
            self.publish_leaving(incarnation)

    async def _record_evidence(
        self,
        _forming: tuple[str, int],
        evidence: str,
    ) -> None:
        self.evidence.append(evidence)


def client_request(
    path: str,
    key: str = KEY,
    body: bytes = b'abc',
    deadline_ms: int = 3000,
    request_id: str = 'r1',
) -> Request:
    """Return a request as a client sends it."""
    headers = {
        'host': HOST,
        'request-id': request_id,
        'model': MODEL,
        'deadline-ms': str(deadline_ms),
        'authorization': f'Bearer {key}',
    }
    return Request('POST', path, headers, body)


async def _read_answer(
    connection: HttpConnection,
    request: Request,
) -> ClientAnswer:
    head = await connection.send_and_read_head(request)
    chunks = []
    try:
        while chunk := await connection.read_chunk():
            chunks.append(chunk)
    except ConnectionBrokenError:
        return ClientAnswer(head.status, head.headers, b''.join(chunks), False)
    return ClientAnswer(head.status, head.headers, b''.join(chunks), True)


def instance(name: str, address: Address, service: str) -> ListedInstance:
    """Return a listed instance that is a replica of its own."""
    membership = Membership(name, 1, 0, MemberPhase.OPEN)
    return ListedInstance(
        name,
        service,
        address,
        'east',
        13,
        membership=membership,
    )


def _publish_to_nobody(_update: object) -> None:
    """Do nothing, as there are no other nodes."""


def _share_with_nobody(_domain: str, _name: str, _max_nodes: int) -> int:
    """Return one node, as there are no others."""
    return 1
