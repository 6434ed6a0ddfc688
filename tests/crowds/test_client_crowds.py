"""Crowds of clients that do not behave, before a node with little memory.

Each test plays one crowd, of requests of legal size or far over it, and checks
what does not depend on the machine's speed: the node lives, stays within its
memory and its descriptors, and answers an ordinary call beside the crowd and
after it.
"""

import contextlib
from collections.abc import Mapping
from types import MappingProxyType

import curio

from cranecart.exceptions import ConnectFailedError
from cranecart.http import Response, exchange
from tests.lib.crowds import Crowd, CrowdClient, chunk, head_bytes
from tests.lib.fake_targets import Exchange, FakeTarget
from tests.lib.memory import check_process
from tests.lib.node_processes import (
    NodeProcess,
    NodeProcessTestCase,
    add_config_and_target,
    node_request,
)
from tests.lib.waiting import until
from tests.platform._standin import StandinStore, start

_MEMORY_MB = 100
_MEMORY_BYTES = _MEMORY_MB * 1_000_000
_MAX_DESCRIPTORS = 400
_BODY_BYTES = 2_097_152
# The limit on requests that are not of clients.
_OTHER_BODY_BYTES = 1_048_576
_SIZE = 40
_ROUNDS = 4
_START_SECONDS = 30.0
# Within the receive timeout of the node, whatever the machine's speed.
_BESIDE_AFTER_SECONDS = 1.0
_CALL_SECONDS = 30.0
_CONNECT_PAUSE_SECONDS = 0.5
_SLOW_TARGET_SECONDS = 4.0
_OK = 200
_LARGE_CHUNK = chunk(65536)
_SMALL_CHUNK = chunk(1)
_KEY = MappingProxyType({'authorization': 'Bearer secret'})
_WRONG_KEY = MappingProxyType({'authorization': 'Bearer wrong'})


def _announced(size: int, key: Mapping[str, str] = _KEY) -> bytes:
    return head_bytes('/x', {**key, 'content-length': str(size)})


def _chunked() -> bytes:
    return head_bytes('/x', {**_KEY, 'transfer-encoding': 'chunked'})


# As many connections as the machines' descriptors allow, and more.
_MANY = 2500
_MANY_DESCRIPTORS = 4100
_SHORT_HEAD = b'POST /x HTTP/1.1\r\nhost: a\r\nx: %b' % (b'y' * 16000)
_SHORT_BODY = CrowdClient(
    head=_announced(_BODY_BYTES), part=b'x' * (_BODY_BYTES - 1)
)
_SHORT_CHUNKS = CrowdClient(head=_chunked(), part=_LARGE_CHUNK, parts=31)


class ClientCrowdsTest(NodeProcessTestCase):
    """One node with the memory of a small machine, and one target."""

    def setUp(self) -> None:
        """Let ordinary clients connect once."""
        super().setUp()
        self.connect_attempts = 1

    def test_bodies_short_of_their_end(self) -> None:
        """All but one byte of each body arrives, and the client waits."""
        self._play(Crowd(client=_SHORT_BODY, size=_SIZE))

    def test_bodies_short_of_their_end_again_and_again(self) -> None:
        """The clients of each round leave, and others come."""
        client = CrowdClient(
            head=_SHORT_BODY.head, part=_SHORT_BODY.part, stays_open=False
        )
        self._play(Crowd(client=client, size=_SIZE, rounds=_ROUNDS))

    def test_chunked_bodies_short_of_their_end(self) -> None:
        """Large chunks arrive, but not the last one."""
        self._play(Crowd(client=_SHORT_CHUNKS, size=_SIZE))

    def test_bodies_in_chunks_of_one_byte(self) -> None:
        """Each takes much more time to read than its size says."""
        client = CrowdClient(
            head=_chunked(), part=_SMALL_CHUNK * 1000, parts=200
        )
        self._play(Crowd(client=client, size=_SIZE))

    def test_bodies_under_a_wrong_key(self) -> None:
        """What cannot be admitted is not collected."""
        client = CrowdClient(
            head=_announced(_BODY_BYTES, _WRONG_KEY), part=_SHORT_BODY.part
        )
        self._play(Crowd(client=client, size=_SIZE))

    def test_whole_bodies_for_a_slow_target(self) -> None:
        """They are held until their target has answered."""
        client = CrowdClient(
            head=_announced(_BODY_BYTES), part=b'x' * _BODY_BYTES
        )
        self._play(Crowd(client=client, size=_SIZE, hold_seconds=8))

    def test_whole_bodies_of_clients_that_leave(self) -> None:
        """Others come while the bodies of those that left are in memory."""
        client = CrowdClient(
            head=_announced(_BODY_BYTES),
            part=b'x' * _BODY_BYTES,
            stays_open=False,
        )
        self._play(Crowd(client=client, size=_SIZE, rounds=6))

    def test_chunked_bodies_without_end(self) -> None:
        """Chunks go on far over the limit, again and again."""
        client = CrowdClient(
            head=_chunked(), part=_LARGE_CHUNK, parts=128, stays_open=False
        )
        self._play(Crowd(client=client, size=_SIZE, rounds=_ROUNDS))

    def test_announced_bodies_far_over_the_limit(self) -> None:
        """The clients send on although they were refused."""
        client = CrowdClient(
            head=_announced(64 * _BODY_BYTES), part=b'x' * _BODY_BYTES, parts=8
        )
        self._play(Crowd(client=client, size=_SIZE, rounds=2))

    def test_bodies_short_of_their_end_at_the_port_for_peers(self) -> None:
        """Whoever reaches the port of the nodes may send there."""
        self._play(Crowd(client=_SHORT_BODY, size=_SIZE), 'peer_requests')

    def test_heads_short_of_their_end(self) -> None:
        """Many connections, with little on each."""
        client = CrowdClient(head=_SHORT_HEAD)
        crowd = Crowd(client=client, size=_MANY, hold_seconds=4)
        # A full backlog accepts no connection for some time.
        self.connect_attempts = 2 * round(_CALL_SECONDS)
        self._play(crowd, max_descriptors=_MANY_DESCRIPTORS)

    def test_bodies_short_of_their_end_at_other_addresses(self) -> None:
        """The metrics and the readiness have addresses of their own."""
        client = CrowdClient(
            head=_announced(_OTHER_BODY_BYTES),
            part=b'x' * (_OTHER_BODY_BYTES - 1),
        )
        for port in ('metrics', 'ready'):
            with self.subTest(port=port):
                self._play(Crowd(client=client, size=2 * _SIZE), port)

    def _play(
        self,
        crowd: Crowd,
        port: str = 'client',
        max_descriptors: int = _MAX_DESCRIPTORS,
    ) -> None:
        self.max_descriptors = max_descriptors
        curio.run(self._run, crowd, port)

    async def _run(self, crowd: Crowd, port: str) -> None:
        target = FakeTarget('t-1', _serve)
        store = add_config_and_target(
            StandinStore(), target, 1000, {'maxBodyBytes': _BODY_BYTES}
        )
        tasks = [await curio.spawn(target.run)]
        task, platform = await start(store)
        tasks.append(task)
        node = self.start_node(
            platform,
            memory_mb=_MEMORY_MB,
            max_descriptors=self.max_descriptors,
        )
        await until(lambda: node.events('node_informed'), _START_SECONDS)
        crowding = await curio.spawn(crowd.run, getattr(node, port))
        await curio.sleep(_BESIDE_AFTER_SECONDS)
        await self._check(node, 'beside')
        await crowding.join()
        await self._check(node, 'after')
        for running in tasks:
            await running.cancel()

    async def _call(self, node: NodeProcess, when: str) -> Response:
        for _ in range(self.connect_attempts - 1):
            with contextlib.suppress(ConnectFailedError):
                return await exchange(
                    node.client, node_request(when), _CALL_SECONDS
                )
            await curio.sleep(_CONNECT_PAUSE_SECONDS)
        return await exchange(node.client, node_request(when), _CALL_SECONDS)

    async def _check(self, node: NodeProcess, when: str) -> None:
        """Check the node and that it answers an ordinary call."""
        self.assertIsNone(node.process.poll())
        response = await self._call(node, when)
        self.assertEqual(response.status, _OK)
        check_process(self, node.process, _MEMORY_BYTES, self.max_descriptors)


async def _serve(served: Exchange) -> None:
    """Answer the crowd's requests slowly."""
    if served.body:
        await curio.sleep(_SLOW_TARGET_SECONDS)
    await served.answer(b'{}')
