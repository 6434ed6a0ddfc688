"""The format of orders, and the errors for the engines' answers."""

import unittest

import attrs
import curio

from cranecart.exceptions import (
    OrderError,
    OrderFencedError,
    OrderRefusedError,
    OrderUnknownError,
    TargetGoneError,
    TargetNotListeningError,
)
from cranecart.http import Address
from cranecart.platform import PlatformOrders
from cranecart.ports import ListedInstance
from cranecart.standins import (
    NamedRequest,
    ResponseStyle,
    ScriptedResponse,
    ScriptedService,
    SurplusResponse,
    SurplusTiming,
)
from tests.lib.endless_targets import EndlessTargets
from tests.lib.fake_engines import listed_instance
from tests.lib.fake_targets import FakeTarget
from tests.platform._standin import StandinStore, start

# More than the kernel receives on a connection before it is read.
_MAX_UNREAD_BYTES = 8_000_000


class OrdersTest(unittest.TestCase):
    """Orders and their outcomes."""

    def setUp(self) -> None:
        """Start with an engine that accepts all orders."""
        self.engine = StandinStore()

    def test_join(self) -> None:
        """A join contains everything that a member needs."""
        self.assertIsNone(self._join())
        self.assertEqual(
            self.engine.orders,
            [
                {
                    'operation': 'join',
                    'group': 'r',
                    'epoch': 7,
                    'model': 'm',
                    'members': ['i', 'j'],
                    'fencingToken': 3,
                },
            ],
        )

    def test_status_becomes_error(self) -> None:
        """Statuses mean accepted, refused, fenced, or another incarnation."""
        expected = {
            200: type(None),
            409: OrderRefusedError,
            400: OrderRefusedError,
            412: OrderFencedError,
            421: TargetGoneError,
        }
        for status, error_type in expected.items():
            with self.subTest(status):
                self.engine.order_status = status
                self.assertIsInstance(self._join(), error_type)

    def test_no_answer_means_unknown(self) -> None:
        """Without an answer, the order may have been executed."""
        self.engine.faults.append('silent')
        self.assertIsInstance(self._join(), OrderUnknownError)

    def test_refused_connection(self) -> None:
        """A refused connection is distinguished from a missing answer.

        The instance may have crashed, or may be finishing its requests.
        """
        error = curio.run(self._order, Address('127.0.0.1', 1))
        self.assertIsInstance(error, TargetNotListeningError)

    def test_refusal_on_lost_paths_taken_for_a_stopped_instance(self) -> None:
        """It may be refused on the way, so the outcome is unknown."""
        orders = PlatformOrders(_lost_path)
        error = curio.run(self._order, Address('127.0.0.1', 1), orders)
        self.assertIsInstance(error, OrderUnknownError)

    def test_late_answer_confirms_no_leave(self) -> None:
        """A late answer to another order does not confirm a leave.

        Otherwise the instance would join another replica too early.
        """
        late_answer = SurplusResponse(
            NamedRequest.NONE, SurplusTiming.BEFORE_NEXT, 202
        )
        engine = ScriptedService(
            Address('127.0.0.1', 0),
            ResponseStyle('expect-replica'),
            (ScriptedResponse((late_answer,)), ScriptedResponse(status=409)),
        )
        with self.assertRaises(OrderRefusedError):
            curio.run(_close_then_leave, engine)

    def test_answer_without_end(self) -> None:
        """It is left long before the order's time is over."""
        for operation in ('close', 'leave'):
            endless = EndlessTargets()
            engine = FakeTarget('i', endless.script())
            with self.assertRaises(OrderUnknownError):
                curio.run(_order_with_target, engine, operation)
            self.assertLess(endless.sent_bytes, _MAX_UNREAD_BYTES)

    def _join(self) -> OrderError | None:
        error: OrderError | None = curio.run(self._with_engine)
        return error

    async def _with_engine(self) -> OrderError | None:
        task, address = await start(self.engine)
        try:
            return await self._order(address)
        finally:
            await task.cancel()

    async def _order(
        self, address: Address, orders: PlatformOrders | None = None
    ) -> OrderError | None:
        instance = attrs.evolve(listed_instance('i', address))
        sender = orders or PlatformOrders()
        try:
            await sender.join(instance, 'r', 7, 'm', ['i', 'j'], 3)
        except OrderError as error:
            return error
        return None


async def _order_with_target(engine: FakeTarget, operation: str) -> None:
    serving = await curio.spawn(engine.run)
    head = listed_instance('i', engine.address)
    try:
        await getattr(PlatformOrders(), operation)(head, 'r', 7, 3)
    finally:
        await serving.cancel()


async def _lost_path(_instance: ListedInstance, _since: float) -> bool:
    return False


async def _close_then_leave(engine: ScriptedService) -> None:
    serving = await curio.spawn(engine.run)
    orders = PlatformOrders()
    head = listed_instance('i', engine.address)
    try:
        await orders.close(head, 'r', 7, 3)
        await orders.leave(head, 'r', 7, 3)
    finally:
        await serving.cancel()
