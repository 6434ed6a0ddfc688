"""Bound what is kept of requests, of all together."""

import contextlib
import gc
from collections.abc import Generator, Iterable
from typing import Self

import attrs

from cranecart.clocks import since_boot
from cranecart.exceptions import RequestCutError

_MEGABYTE = 1_000_000
_DEFAULT_BYTES = 32_000_000
# Part of a machine's memory that requests may take while they are received and
# until they are answered.
_MEMORY_FRACTION = 0.15
# Requests up to this size are always read, so that ordinary callers are served
# beside those that take all the memory. Heads of requests have no more.
FREE_BYTES = 16384
# Bodies are kept in parts: those that grow in one piece beside each other leave
# gaps in the heap as large as they are.
_PART_BYTES = 65536
# A body is held as received and, while it is sent to a target, as encoded.
_COPIES = 2
# A client that sends nothing for this long is slower than any that means to end
# its request.
_STALLED_SECONDS = 0.5
# Requests that failed or were cancelled leave reference cycles with their bodies,
# which Python frees only when many objects were made since. This part of the
# limit may be left so.
_GARBAGE_FRACTION = 0.25


@attrs.define(eq=False)
class RequestMemory:
    """What is kept of all requests, received in part or completely.

    Over ``limit_bytes`` incomplete requests are cut: those that have stalled
    for longest, or else the largest. ``held_bytes`` is how much is kept now,
    ``cut_count`` how many requests were cut so far.
    """

    limit_bytes: float = _DEFAULT_BYTES
    held_bytes: int = attrs.field(default=0, init=False)
    cut_count: int = attrs.field(default=0, init=False)
    _large: dict['HeldRequest', None] = attrs.field(factory=dict, init=False)
    _garbage_bytes: int = attrs.field(default=0, init=False)

    @classmethod
    def from_megabytes(cls, limit: float | None, machine: float) -> Self:
        """Return one with a limit, or for a machine; 0 is not told."""
        megabytes = machine * _MEMORY_FRACTION if limit is None else limit
        return cls(megabytes * _MEGABYTE) if megabytes else cls()

    @contextlib.contextmanager
    def holding(self, count: int) -> Generator['HeldRequest', None, None]:
        """Count a request of which some bytes have arrived, until it ends."""
        held = HeldRequest(self)
        held.grow(count)
        try:
            yield held
        finally:
            self._collect_garbage(held)
            held.release()

    def counts(self) -> dict[str, int]:
        """Return the metrics by name."""
        return {
            'request_bytes': self.held_bytes,
            'requests_cut': self.cut_count,
        }

    def record_size(self, held: 'HeldRequest', change: int) -> None:
        """Record that a request has grown or shrunk by some bytes."""
        self.held_bytes += change
        if held.size > FREE_BYTES:
            self._large[held] = None
        else:
            self._large.pop(held, None)
        if change > 0:
            self._make_room()

    def _make_room(self) -> None:
        """Cut requests until the others fit; one alone always does."""
        while self.held_bytes > self.limit_bytes and len(self._large) > 1:
            victim = _least_likely(self._large)
            if victim is None:
                return
            self.cut_count += 1
            victim.cut()

    def _collect_garbage(self, held: 'HeldRequest') -> None:
        """Free what large requests have left behind, if that may be much."""
        if not held.is_complete or held.size <= FREE_BYTES:
            return
        self._garbage_bytes += held.size
        if self._garbage_bytes > self.limit_bytes * _GARBAGE_FRACTION:
            self._garbage_bytes = 0
            gc.collect()


@attrs.define(eq=False)
class HeldRequest:
    """What is kept of one request; ``size`` is in bytes."""

    memory: RequestMemory = attrs.field(factory=RequestMemory)
    _parts: list[bytearray] = attrs.field(factory=list, init=False)
    _body_bytes: int = attrs.field(default=0, init=False)
    size: int = attrs.field(default=0, init=False)
    is_complete: bool = attrs.field(default=False, init=False)
    is_cut: bool = attrs.field(default=False, init=False)
    grown_at: float = attrs.field(factory=since_boot, init=False)

    def grow(self, count: int) -> None:
        """Record that some bytes were received."""
        self.grown_at = since_boot()
        self._resize(self.size + count)

    def add(self, received: bytes) -> int:
        """Keep a part of the body; return how much there is of it so far."""
        if self._parts and len(self._parts[-1]) + len(received) <= _PART_BYTES:
            self._parts[-1] += received
        else:
            self._parts.append(bytearray(received))
        self._body_bytes += len(received)
        return self._body_bytes

    def check(self) -> None:
        """Raise ``RequestCutError`` if it was cut."""
        if self.is_cut:
            raise RequestCutError(
                'all requests at hand take more memory than this node has'
            )

    def complete(self) -> bytes:
        """Return the whole body, which is kept until ``release``.

        Raise ``RequestCutError`` if it was cut.
        """
        self.is_complete = True
        body = b''.join(self._parts)
        self._parts.clear()
        self._resize(len(body) * _COPIES)
        self.check()
        return body

    def cut(self) -> None:
        """Discard what was received."""
        self.is_cut = True
        self.release()

    def release(self) -> None:
        """Record that nothing is kept of it any more."""
        self._parts.clear()
        self._resize(0)

    def _resize(self, size: int) -> None:
        change = size - self.size
        self.size = size
        self.memory.record_size(self, change)


def _least_likely(requests: Iterable[HeldRequest]) -> HeldRequest | None:
    """Return the incomplete request that is least likely to end soon."""
    incomplete = [held for held in requests if not held.is_complete]
    if not incomplete:
        return None
    slowest = min(incomplete, key=lambda held: held.grown_at)
    if since_boot() - slowest.grown_at > _STALLED_SECONDS:
        return slowest
    return max(incomplete, key=lambda held: held.size)
