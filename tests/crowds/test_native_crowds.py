"""A crowd of clients before a node with the native interface."""

import unittest

import curio
import msgspec

from cranecart.http import Request, exchange
from tests.lib.clusters import start_cluster
from tests.lib.crowds import Crowd, CrowdClient, head_bytes
from tests.lib.memory import check_process

_KEY = 'Bearer demo-budapest'
_PATH = '/v1/chat/completions'
# What a node's machine has at the size that the system is designed for.
_MEMORY_BYTES = 128_000_000
_MAX_DESCRIPTORS = 400
# The limit on a body of the native interface.
_BODY_BYTES = 1_048_576
_SIZE = 120
_CALL_SECONDS = 30.0
_BESIDE_AFTER_SECONDS = 1.0
_OK = 200


class NativeCrowdsTest(unittest.TestCase):
    """One node of a small deployment."""

    def test_bodies_short_of_their_end(self) -> None:
        """All but one byte of each body arrives, and the client waits."""
        self.cluster = start_cluster(self)
        self.node = next(iter(self.cluster.endpoints))
        curio.run(self._play)

    async def _play(self) -> None:
        headers = {'authorization': _KEY, 'content-length': str(_BODY_BYTES)}
        client = CrowdClient(
            head=head_bytes(_PATH, headers), part=b'x' * (_BODY_BYTES - 1)
        )
        crowd = Crowd(client=client, size=_SIZE)
        address = self.cluster.endpoints[self.node].clients
        crowding = await curio.spawn(crowd.run, address)
        await curio.sleep(_BESIDE_AFTER_SECONDS)
        await self._check()
        await crowding.join()
        await self._check()

    async def _check(self) -> None:
        """Check the node and that it answers an ordinary call."""
        process = self.cluster.processes[self.node].popen
        self.assertIsNone(process.poll())
        body = {
            'model': 'nyelvi-szerver',
            'messages': [{'role': 'user', 'content': 'x'}],
        }
        response = await exchange(
            self.cluster.endpoints[self.node].clients,
            Request(
                'POST',
                _PATH,
                {'authorization': _KEY},
                msgspec.json.encode(body),
            ),
            _CALL_SECONDS,
        )
        self.assertEqual(response.status, _OK)
        check_process(self, process, _MEMORY_BYTES, _MAX_DESCRIPTORS)
