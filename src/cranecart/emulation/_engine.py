"""A replica's engine: slots, a queue by rank, passes that read and write."""

import heapq
import itertools

import attrs

from cranecart.models import EngineModel, EngineProfile, Route

_NUMBERS = itertools.count()


@attrs.define(eq=False)
class Run:
    """One client's request on its way; times in simulated seconds.

    ``asked_at`` is when its client first asked, ``came_at`` when this try
    came. ``events`` are still to be written.
    """

    route: Route
    model: EngineModel
    node: int
    asked_at: float
    came_at: float
    prompt_tokens: int
    events: int
    has_returned: bool = False
    first_at: float | None = None
    last_at: float = 0
    longest_pause: float = 0
    is_over: bool = False

    def note_event(self, now: float) -> None:
        """Take over that an event was written."""
        if self.first_at is None:
            self.first_at = now
        else:
            self.longest_pause = max(self.longest_pause, now - self.last_at)
        self.last_at = now
        self.events -= 1


@attrs.define(eq=False)
class Engine:
    """A whole replica; it serves from ``open_at`` until it dies.

    ``slowness`` multiplies all its times beside the model's pace.
    """

    name: str
    model: EngineModel
    profile: EngineProfile
    open_at: float = 0
    slowness: float = 1
    is_dead: bool = False
    writers: list[Run] = attrs.field(factory=list)
    is_busy: bool = False
    _queue: list[tuple[int, int, Run]] = attrs.field(factory=list)

    def put(self, run: Run, rank: int) -> None:
        """Queue a request; those of a lower rank go first."""
        heapq.heappush(self._queue, (rank, next(_NUMBERS), run))

    def runs(self) -> list[Run]:
        """Return the requests that are here and not over."""
        waiting = (run for _rank, _number, run in self._queue)
        return [one for one in (*self.writers, *waiting) if not one.is_over]

    def begin_pass(self) -> float | None:
        """Let requests in; return how long the pass takes, if there is one."""
        self.writers = [one for one in self.writers if not one.is_over]
        timing = self.profile.timing
        reading = float(0)
        room = timing.chunk_tokens * timing.steps_a_pass
        while self._queue and len(self.writers) < self.profile.slots:
            run = self._queue[0][2]
            if not run.is_over and run.prompt_tokens > room:
                break
            heapq.heappop(self._queue)
            if not run.is_over:
                room -= run.prompt_tokens
                reading += timing.reading_seconds(run.prompt_tokens)
                self.writers.append(run)
        if not self.writers:
            return None
        seconds = timing.pass_seconds(len(self.writers)) + reading
        return seconds * self.model.pace * self.slowness

    def end_pass(self, now: float) -> list[Run]:
        """Write an event of each request; return those that are whole."""
        for run in self.writers:
            run.note_event(now)
        whole = [run for run in self.writers if run.events <= 0]
        self.writers = [run for run in self.writers if run.events > 0]
        return whole
