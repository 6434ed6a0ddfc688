"""Membership of a stand-in engine in a replica: orders and member probes."""

import contextlib

import attrs
import curio
import msgspec
from curio.errors import TaskTimeout

from cranecart.exceptions import HttpError
from cranecart.http import (
    Address,
    HttpConnection,
    Request,
    Responder,
    json_response,
)
from cranecart.instances import MemberReport, MemberState
from cranecart.standins._engine_options import EngineOptions
from cranecart.standins._record import EventRecord

_OK = 200
_CONFLICT = 409
_POLL_SECONDS = 0.2
_PROBE_TIMEOUT_SECONDS = 0.6
_UNTIL_CANCELLED_SECONDS = 1000000


@attrs.frozen
class Order:
    """An order of a placer to an engine; without a replica it becomes idle."""

    fencing: int
    replica: str = ''
    generation: int = 0
    members: tuple[str, ...] = ()
    addresses: tuple[str, ...] = ()
    model: str = ''
    version: str = ''
    adapters: tuple[str, ...] = ()
    retiring: bool = False


def _without_live_fields(order: Order) -> Order:
    """Return the order without the fields that change without a restart."""
    return attrs.evolve(order, fencing=0, retiring=False)


class Membership:
    """The last order that an engine received, and the resulting state."""

    def __init__(self, options: EngineOptions, record: EventRecord) -> None:
        """Start idle."""
        self.state = MemberState.IDLE
        self.order = Order(0)
        self._options = options
        self._record = record
        self._healthy = curio.Event()
        self._replica_task: curio.Task | None = None

    @property
    def is_leader(self) -> bool:
        """Return whether this instance serves the requests of its replica."""
        return self.order.members[:1] == (self._options.instance,)

    def report(self) -> MemberReport:
        """Return the status report, without the load."""
        order = self.order
        return MemberReport(
            self._options.instance,
            self.state,
            order.replica,
            order.generation,
            order.fencing,
            order.members,
            order.model,
            order.version,
            order.adapters,
            retiring=order.retiring,
        )

    async def wait_for_step(self, order: Order) -> None:
        """Wait until all members respond; raise if the replica is broken."""
        await self._healthy.wait()
        if (
            _without_live_fields(self.order) != _without_live_fields(order)
            or self.state != MemberState.READY
        ):
            raise ConnectionResetError(
                'the replica is broken or was reassigned'
            )

    async def handle_order(
        self,
        request: Request,
        responder: Responder,
    ) -> None:
        """Carry out an order, unless its fencing token is outdated."""
        order = msgspec.json.decode(request.body, type=Order)
        is_outdated = order.fencing < self.order.fencing
        if self._options.checks_fencing and is_outdated:
            self._record.write('order_refused', fencing=order.fencing)
            await responder.send(json_response(_CONFLICT, self.report()))
            return
        if _without_live_fields(order) != _without_live_fields(self.order):
            await self._apply_order(order)
        self.order = order
        await responder.send(json_response(_OK, self.report()))

    async def handle_collective(
        self,
        request: Request,
        responder: Responder,
    ) -> None:
        """Answer a leader's probe: whether this instance is in its replica."""
        query = request.query
        is_member = query.get('replica') == self.order.replica and query.get(
            'generation'
        ) == str(self.order.generation)
        response = {'member': is_member, 'state': self.state.value}
        await responder.send(json_response(_OK, response))

    async def _apply_order(self, order: Order) -> None:
        if self._replica_task is not None:
            await self._replica_task.cancel()
            self._replica_task = None
        has_weights = (order.model, order.version) == (
            self.order.model,
            self.order.version,
        ) and self.state in {MemberState.READY, MemberState.BROKEN}
        self._healthy.clear()
        self.order = order
        self._set_state(
            MemberState.LOADING if order.replica else MemberState.IDLE,
        )
        if order.replica:
            self._replica_task = await curio.spawn(
                self._serve_replica,
                order,
                has_weights,
                daemon=True,
            )

    def _set_state(self, state: MemberState) -> None:
        self.state = state
        self._record.write(
            'state',
            state=state.value,
            replica=self.order.replica,
            generation=self.order.generation,
            members=self.order.members,
        )

    async def _serve_replica(self, order: Order, has_weights: bool) -> None:
        while not has_weights:
            has_weights = await self._load_weights(order)
        self._set_state(MemberState.READY)
        is_leader = order.members[0] == self._options.instance
        if is_leader and self._options.checks_members:
            await self._watch_members(order)
        await self._healthy.set()

    async def _load_weights(self, order: Order) -> bool:
        body = msgspec.json.encode({'model': order.model})
        connection = None
        try:
            connection = await HttpConnection.open(self._options.platform)
            await connection.send(Request('POST', '/weights', body=body))
            head = await connection.read_head()
            return head.is_success
        except HttpError:
            await curio.sleep(_POLL_SECONDS)
            return False
        finally:
            if connection is not None:
                await connection.close()

    async def _watch_members(self, order: Order) -> None:
        await self._poll_members(order)
        self._healthy.clear()
        self._set_state(MemberState.BROKEN)
        # Wake the requests that wait for a step, so that they fail.
        await self._healthy.set()
        await curio.sleep(_UNTIL_CANCELLED_SECONDS)

    async def _poll_members(self, order: Order) -> None:
        path = f'/collective?replica={order.replica}'
        target = f'{path}&generation={order.generation}'
        others = [Address.from_text(text) for text in order.addresses[1:]]
        all_were_ready = False
        while True:
            states = [await _probe_member(other, target) for other in others]
            if all(state == 'ready' for state in states):
                all_were_ready = True
                await self._healthy.set()
            elif all_were_ready and 'gone' in states:
                return
            else:
                self._healthy.clear()
            await curio.sleep(_POLL_SECONDS)


async def _probe_member(address: Address, target: str) -> str:
    try:
        return await curio.timeout_after(
            _PROBE_TIMEOUT_SECONDS,
            _exchange_probe,
            address,
            target,
        )
    except TaskTimeout:
        return 'stalled'
    except HttpError:
        return 'gone'


async def _exchange_probe(address: Address, target: str) -> str:
    connection = await HttpConnection.open(address)
    try:
        await connection.send(Request('GET', target))
        await connection.read_head()
        response = msgspec.json.decode(await connection.read_body())
    finally:
        with contextlib.suppress(OSError):
            await connection.close()
    if not response['member']:
        return 'gone'
    return 'ready' if response['state'] == 'ready' else 'loading'
