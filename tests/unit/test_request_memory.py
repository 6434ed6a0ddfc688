"""What is kept of requests is bounded over all clients."""

import unittest

import curio
from hypothesis import given
from hypothesis import strategies as st

from cranecart.exceptions import RequestCutError
from cranecart.http import (
    Address,
    HttpServer,
    Request,
    RequestMemory,
    Responder,
    Response,
)
from cranecart.http._request_memory import HeldRequest
from tests.lib.waiting import until

_LIMIT = 1_000_000
_FREE_BYTES = 16384
_HALF = _LIMIT // 2
_STALL_SECONDS = 0.6
_HEAD = b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n'


class RequestMemoryTest(unittest.TestCase):
    """Which requests are cut."""

    def setUp(self) -> None:
        """Create it with a limit."""
        self.memory = RequestMemory(_LIMIT)

    def test_one_large_request_is_refused(self) -> None:
        """Whatever its size, it is served if it is alone."""
        held = self._request(3 * _LIMIT)
        self.assertFalse(held.is_cut)
        held.complete()

    def test_small_requests_are_refused_beside_large_ones(self) -> None:
        """Those that are complete leave no room for others."""
        large = [self._request(_HALF) for _ in range(3)]
        for held in large:
            held.is_complete = True
        small = self._request(_FREE_BYTES)
        small.complete()
        self.assertFalse(small.is_cut)
        with self.assertRaises(RequestCutError):
            self._request(_FREE_BYTES + 1).check()

    def test_request_in_progress_is_cut_for_a_stalled_one(self) -> None:
        """A large one that goes on is kept, a smaller one that waits is not."""
        stalled = self._request(_HALF // 2)
        stalled.grown_at -= _STALL_SECONDS
        growing = self._request(_HALF)
        growing.grow(_HALF)
        self.assertTrue(stalled.is_cut)
        self.assertFalse(growing.is_cut)

    @given(
        st.lists(
            st.tuples(
                st.integers(0, 9),
                st.sampled_from(('grow', 'complete', 'release')),
                st.integers(0, _LIMIT),
            ),
            max_size=60,
        )
    )
    def test_drawn_requests_exceed_the_limit(
        self, steps: list[tuple[int, str, int]]
    ) -> None:
        """Only complete ones, small ones and a single one may be beyond it."""
        memory = RequestMemory(_LIMIT)
        requests = [HeldRequest(memory) for _ in range(10)]
        for number, action, count in steps:
            requests[number] = _changed(requests[number], action, count)
            sizes = [each.size for each in requests]
            self.assertEqual(memory.held_bytes, sum(sizes))
            large = [each for each in requests if each.size > _FREE_BYTES]
            if memory.held_bytes > _LIMIT and len(large) > 1:
                self.assertTrue(all(each.is_complete for each in large))

    def _request(self, size: int) -> HeldRequest:
        held = HeldRequest(self.memory)
        held.grow(size)
        return held


class CutRequestTest(unittest.TestCase):
    """What the client of a request that is cut gets."""

    def test_cut_request_is_run_or_not_answered(self) -> None:
        """It is refused with a time to come back, and the other one served."""
        curio.run(self._cut)

    async def _cut(self) -> None:
        self.handled: list[int] = []
        self.server = HttpServer(
            Address('127.0.0.1', 0), self._handle, memory=RequestMemory(_LIMIT)
        )
        self.server.open()
        await curio.spawn(self.server.run, daemon=True)
        stalled = await self._send(_HALF + 1, _HALF)
        memory = self.server.memory
        await until(lambda: memory.held_bytes >= _HALF)
        await curio.sleep(_STALL_SECONDS)
        whole = await self._send(_HALF + 1, _HALF + 1)
        self._check(await stalled.recv(4096), await whole.recv(4096))
        for sock in (stalled, whole):
            await sock.close()
        await until(lambda: not memory.held_bytes)

    def _check(self, refusal: bytes, answer: bytes) -> None:
        self.assertIn(b' 503 ', refusal)
        self.assertIn(b'retry-after: 1', refusal)
        self.assertIn(b'connection: close', refusal)
        self.assertIn(b' 200 ', answer)
        self.assertEqual(self.handled, [_HALF + 1])
        self.assertEqual(self.server.memory.cut_count, 1)

    async def _handle(self, request: Request, responder: Responder) -> None:
        self.handled.append(len(request.body))
        await responder.send(Response(200))

    async def _send(self, announced: int, sent: int) -> curio.io.Socket:
        address = self.server.address
        sock = await curio.open_connection(address.host, address.port)
        await sock.sendall(_HEAD % announced + b'x' * sent)
        return sock


def _changed(held: HeldRequest, action: str, count: int) -> HeldRequest:
    """Return a request after an action, or the next one after its end."""
    if action == 'release':
        held.release()
        return HeldRequest(held.memory)
    if not held.is_cut and not held.is_complete:
        held.grow(count)
        held.is_complete = action == 'complete'
    return held
