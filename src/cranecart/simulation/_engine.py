"""Model of an inference engine with slots and a priority queue.

In each pass the engine admits queued requests, processes their prompts, and
emits one event for each active request.
"""

import heapq
import itertools

import attrs

from cranecart.models import EngineModel, EngineProfile, Route

_SEQUENCE = itertools.count()


@attrs.define(eq=False)
class SimulatedRequest:
    """A client's request; times are in simulated seconds.

    ``first_sent_at`` is the time of the client's first attempt, ``arrived_at``
    that of this attempt. ``events`` is the number of events left to emit.
    ``token`` is that of the request's id. A client that ``is_impatient`` retries
    at once, up to three times, whatever time it is told.
    """

    route: Route
    model: EngineModel
    node: int
    first_sent_at: float
    arrived_at: float
    prompt_tokens: int
    events: int
    is_retry: bool = False
    first_event_at: float | None = None
    last_event_at: float = 0
    longest_pause: float = 0
    is_done: bool = False
    organisation: str = ''
    token: float = 0
    is_impatient: bool = False
    refusals: int = 0

    def remaining_seconds(self, now: float) -> float:
        """Return how long the client will still wait."""
        return self.route.timeout_seconds - (now - self.first_sent_at)

    def record_event(self, now: float) -> None:
        """Record that an event was emitted."""
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            self.longest_pause = max(
                self.longest_pause, now - self.last_event_at
            )
        self.last_event_at = now
        self.events -= 1


@attrs.define(eq=False)
class Engine:
    """The engine of one replica; it serves from ``ready_at`` until it crashes.

    ``slowness`` multiplies all its times, in addition to the model's pace.
    """

    name: str
    model: EngineModel
    profile: EngineProfile
    ready_at: float = 0
    slowness: float = 1
    is_dead: bool = False
    active: list[SimulatedRequest] = attrs.field(factory=list)
    is_in_pass: bool = False
    _queue: list[tuple[int, int, SimulatedRequest]] = attrs.field(factory=list)

    def enqueue(self, request: SimulatedRequest, rank: int) -> None:
        """Queue a request; lower ranks are admitted first."""
        heapq.heappush(self._queue, (rank, next(_SEQUENCE), request))

    def requests(self) -> list[SimulatedRequest]:
        """Return the active and queued requests that are not done."""
        waiting = (request for _rank, _number, request in self._queue)
        return [
            request
            for request in (*self.active, *waiting)
            if not request.is_done
        ]

    def begin_pass(self) -> float | None:
        """Admit requests; return the pass's duration, or None without requests."""
        self.active = [
            request for request in self.active if not request.is_done
        ]
        timing = self.profile.timing
        prefill_seconds = float(0)
        token_budget = timing.chunk_tokens * timing.steps_a_pass
        while self._queue and len(self.active) < self.profile.slots:
            request = self._queue[0][2]
            if not request.is_done and request.prompt_tokens > token_budget:
                break
            heapq.heappop(self._queue)
            if not request.is_done:
                token_budget -= request.prompt_tokens
                prefill_seconds += timing.prompt_seconds(request.prompt_tokens)
                self.active.append(request)
        if not self.active:
            return None
        seconds = timing.pass_seconds(len(self.active)) + prefill_seconds
        return seconds * self.model.pace * self.slowness

    def end_pass(self, now: float) -> list[SimulatedRequest]:
        """Emit an event for each active request; return the finished ones."""
        for request in self.active:
            request.record_event(now)
        finished = [request for request in self.active if request.events <= 0]
        self.active = [request for request in self.active if request.events > 0]
        return finished
