"""Processes that start before what they need find it later."""

import unittest
from http import HTTPStatus

import curio
import msgspec

from cranecart.config import compile_folder
from cranecart.exceptions import ConnectFailedError, WriteUnknownError
from cranecart.http import (
    Address,
    HttpServer,
    Request,
    Responder,
    json_response,
)
from cranecart.operators import OperatorClient
from cranecart.rollout import Change
from cranecart.standins import (
    EventRecord,
    ListEntry,
    PlatformOptions,
    PlatformStandin,
    register,
)
from tests.lib.clusters import EXAMPLES
from tools.processes import Addresses

_LATE_SECONDS = 0.5
_DECLARATIONS = compile_folder(EXAMPLES / 'katyuszerviz')
_CHANGE = Change(1, '', 'c', 'author', 0)


class RegistrationTest(unittest.TestCase):
    """An instance whose platform, or the path to it, starts after it."""

    def setUp(self) -> None:
        """Reserve the platform's address."""
        addresses = Addresses()
        self.addCleanup(addresses.release)
        self.address = addresses.take()
        self.platform = PlatformStandin(
            self.address, PlatformOptions(), EventRecord('platform', None)
        )

    def test_platform_that_starts_later(self) -> None:
        """The instance is listed then; it used to exit."""
        curio.run(self._register_before_start)
        self.assertIn('s0', self.platform._instances)

    async def _register_before_start(self) -> None:
        entry = ListEntry('s0', 'service', '127.0.0.1', 9)
        registering = await curio.spawn(register, self.address, entry)
        await curio.sleep(_LATE_SECONDS)
        running = await curio.spawn(self.platform.run)
        await registering.join()
        await running.cancel()


class OperatorCallTest(unittest.TestCase):
    """A change that is submitted while its node cannot take it yet."""

    def setUp(self) -> None:
        """Reserve the node's address."""
        addresses = Addresses()
        self.addCleanup(addresses.release)
        self.address = addresses.take()
        self.node = _Node(self.address)

    def test_node_that_starts_later(self) -> None:
        """The call is repeated, as it was not sent."""
        curio.run(self._apply_before_start)
        self.assertEqual(len(self.node.change_ids), 1)

    def test_platform_that_is_away(self) -> None:
        """The call is repeated under its id, as nothing was written."""
        self.node.statuses = [HTTPStatus.SERVICE_UNAVAILABLE]
        curio.run(self._apply)
        self.assertEqual(len(self.node.change_ids), 2)
        self.assertEqual(len(set(self.node.change_ids)), 1)

    def test_unknown_outcome(self) -> None:
        """The call is not repeated, as it may have run."""
        self.node.statuses = [HTTPStatus.GATEWAY_TIMEOUT]
        with self.assertRaises(WriteUnknownError):
            curio.run(self._apply)
        self.assertEqual(len(self.node.change_ids), 1)

    def test_node_that_does_not_start(self) -> None:
        """The error says that nothing was sent."""
        with self.assertRaises(ConnectFailedError):
            curio.run(self._submit, 0.1)

    async def _apply(self) -> Change:
        running = await curio.spawn(self.node.server.run)
        try:
            return await self._submit()
        finally:
            await running.cancel()

    async def _apply_before_start(self) -> None:
        submitting = await curio.spawn(self._submit)
        await curio.sleep(_LATE_SECONDS)
        running = await curio.spawn(self.node.server.run)
        await submitting.join()
        await running.cancel()

    async def _submit(self, repeat_seconds: float = 5) -> Change:
        client = OperatorClient(self.address, 'key', repeat_seconds)
        return await client.apply(_DECLARATIONS, 0, 'author')


class _Node:
    """A node's admin interface that answers with the given statuses."""

    def __init__(self, address: Address) -> None:
        self.server = HttpServer(address, self._handle)
        self.change_ids: list[str] = []
        # Of the first submissions; the later ones are accepted.
        self.statuses: list[HTTPStatus] = []

    async def _handle(self, request: Request, responder: Responder) -> None:
        if request.method == 'GET':
            status = HTTPStatus.SERVICE_UNAVAILABLE
            await responder.send(json_response(status, {'error': 'away'}))
            return
        message = msgspec.json.decode(request.body)
        self.change_ids.append(message['change_id'])
        if self.statuses:
            status = self.statuses.pop(0)
            await responder.send(json_response(status, {'error': 'away'}))
            return
        await responder.send(json_response(HTTPStatus.OK, _CHANGE))


if __name__ == '__main__':
    unittest.main()
