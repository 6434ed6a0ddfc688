"""The part of a stand-in engine that lives in a replica: orders, members."""

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
from cranecart.standins._record import Record

_OK = 200
_CONFLICT = 409
_COLLECTIVE_SECONDS = 0.2
_STALL_SECONDS = 0.6
_FOREVER_SECONDS = 1000000


@attrs.frozen
class Order:
    """What a placer tells an engine to become; no replica means idle."""

    fencing: int
    replica: str = ''
    generation: int = 0
    members: tuple[str, ...] = ()
    addresses: tuple[str, ...] = ()
    model: str = ''
    version: str = ''
    adapters: tuple[str, ...] = ()
    retiring: bool = False


def _essence(order: Order) -> Order:
    """Return what of an order needs the engine to start anew."""
    return attrs.evolve(order, fencing=0, retiring=False)


class Membership:
    """What an engine was ordered to be, and how far it has come."""

    def __init__(self, options: EngineOptions, record: Record) -> None:
        """Start idle."""
        self.state = MemberState.IDLE
        self.order = Order(0)
        self._options = options
        self._record = record
        self._healthy = curio.Event()
        self._incarnation: curio.Task | None = None

    @property
    def leads(self) -> bool:
        """Tell whether this instance takes the requests of its replica."""
        return self.order.members[:1] == (self._options.instance,)

    def report(self) -> MemberReport:
        """Return the report without its load."""
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

    async def next_step(self, order: Order) -> None:
        """Wait until all members can go on; raise if the replica broke."""
        await self._healthy.wait()
        if (
            _essence(self.order) != _essence(order)
            or self.state != MemberState.READY
        ):
            raise ConnectionResetError('the replica broke')

    async def take_order(
        self,
        request: Request,
        responder: Responder,
    ) -> None:
        """Become what a placer says, unless its number is old."""
        order = msgspec.json.decode(request.body, type=Order)
        is_old = order.fencing < self.order.fencing
        if self._options.checks_fencing and is_old:
            self._record.write('order_refused', fencing=order.fencing)
            await responder.send(json_response(_CONFLICT, self.report()))
            return
        if _essence(order) != _essence(self.order):
            await self._become(order)
        self.order = order
        await responder.send(json_response(_OK, self.report()))

    async def answer_collective(
        self,
        request: Request,
        responder: Responder,
    ) -> None:
        """Tell another member whether this one is in its replica."""
        query = request.query
        belongs = query.get('replica') == self.order.replica and query.get(
            'generation'
        ) == str(self.order.generation)
        answer = {'member': belongs, 'state': self.state.value}
        await responder.send(json_response(_OK, answer))

    async def _become(self, order: Order) -> None:
        if self._incarnation is not None:
            await self._incarnation.cancel()
            self._incarnation = None
        keeps_weights = (order.model, order.version) == (
            self.order.model,
            self.order.version,
        ) and self.state in {MemberState.READY, MemberState.BROKEN}
        self._healthy.clear()
        self.order = order
        self._set_state(
            MemberState.LOADING if order.replica else MemberState.IDLE,
        )
        if order.replica:
            self._incarnation = await curio.spawn(
                self._live_in_replica,
                order,
                keeps_weights,
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

    async def _live_in_replica(self, order: Order, warm: bool) -> None:
        while not warm:
            warm = await self._load_weights(order)
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
            await curio.sleep(_COLLECTIVE_SECONDS)
            return False
        finally:
            if connection is not None:
                await connection.close()

    async def _watch_members(self, order: Order) -> None:
        await self._watch_all(order)
        self._healthy.clear()
        self._set_state(MemberState.BROKEN)
        # Whoever waits for the next step must see that it will not come.
        await self._healthy.set()
        await curio.sleep(_FOREVER_SECONDS)

    async def _watch_all(self, order: Order) -> None:
        path = f'/collective?replica={order.replica}'
        target = f'{path}&generation={order.generation}'
        others = [Address.from_text(text) for text in order.addresses[1:]]
        has_met = False
        while True:
            answers = [await _ask_member(other, target) for other in others]
            if all(answer == 'ready' for answer in answers):
                has_met = True
                await self._healthy.set()
            elif has_met and 'gone' in answers:
                return
            else:
                self._healthy.clear()
            await curio.sleep(_COLLECTIVE_SECONDS)


async def _ask_member(address: Address, target: str) -> str:
    try:
        return await curio.timeout_after(
            _STALL_SECONDS,
            _ask_member_now,
            address,
            target,
        )
    except TaskTimeout:
        return 'stalled'
    except HttpError:
        return 'gone'


async def _ask_member_now(address: Address, target: str) -> str:
    connection = await HttpConnection.open(address)
    try:
        await connection.send(Request('GET', target))
        await connection.read_head()
        answer = msgspec.json.decode(await connection.read_body())
    finally:
        with contextlib.suppress(OSError):
            await connection.close()
    if not answer['member']:
        return 'gone'
    return 'ready' if answer['state'] == 'ready' else 'loading'
