"""Play a load against engines under a policy, in simulated time."""

import functools
import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Sequence

import attrs

from cranecart.dispatch import Refuse, Send
from cranecart.emulation._engine import Engine, Run
from cranecart.emulation._load import Death, Load
from cranecart.emulation._policies import Policy
from cranecart.emulation._result import Outcome, Result

# What passes from a request's sending to its first event beside the passes.
_WAY_SECONDS = 0.12
# A node's counts reach the others with each beat.
_BEAT_SECONDS = 0.25
# Streams of a replica that died are sent elsewhere after this.
_MOVED_SECONDS = 0.15
_LATE_RANK = 5
_PATIENCE_SECONDS = 2.0
# Without a replica the client is told to come back after this.
_NOWHERE_SECONDS = 0.6

# When, which of those at that moment, and what happens.
_Due = tuple[float, int, Callable[[], None]]


@attrs.define(eq=False)
class _Node:
    policy: Policy
    counts: Counter[str] = attrs.field(factory=Counter)
    behind: Counter[str] = attrs.field(factory=Counter)
    told: Counter[str] = attrs.field(factory=Counter)


@attrs.define(eq=False)
class _Place:
    node: _Node
    engine: Engine
    sent: Send
    sent_at: float
    has_begun: bool = False

    def counts(self) -> Counter[str]:
        is_behind = self.sent.is_deferred and not self.has_begun
        return self.node.behind if is_behind else self.node.counts

    def begin(self) -> None:
        """Count as one that runs."""
        self.counts()[self.engine.name] -= 1
        self.has_begun = True
        self.counts()[self.engine.name] += 1


class World:
    """All engines and nodes, and what happens next."""

    def __init__(
        self,
        engines: Sequence[Engine],
        policies: Sequence[Policy],
        *,
        shares_counts: bool = True,
    ) -> None:
        """Begin at zero; each policy is one node's."""
        self.result = Result()
        self._engines = list(engines)
        self._nodes = [_Node(policy) for policy in policies]
        self._shares_counts = shares_counts
        self._places: dict[Run, _Place] = {}
        self._now = float(0)
        self._numbers = itertools.count()
        self._due: list[_Due] = []

    def run(self, runs: Sequence[Run], deaths: Sequence[Death]) -> Result:
        """Play until everything has ended."""
        for run in runs:
            self._at(run.came_at, functools.partial(self._come, run))
        for death in deaths:
            self._at(death.at, functools.partial(self._die, death))
        if self._shares_counts:
            self._at(0, self._beat)
        self._left = len(runs)
        while self._due and self._left > 0:
            due = heapq.heappop(self._due)
            self._now = due[0]
            due[2]()
        return self.result

    def _at(self, when: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._due, (when, next(self._numbers), act))

    def _beat(self) -> None:
        for node in self._nodes:
            node.told = node.counts.copy()
        self._at(self._now + _BEAT_SECONDS, self._beat)

    def _come(self, run: Run) -> None:
        node = self._nodes[run.node]
        engines = [
            one
            for one in self._engines
            if one.model is run.model
            and not one.is_dead
            and one.open_at <= self._now
        ]
        if not engines:
            self._refuse(run, _NOWHERE_SECONDS)
            return
        chosen = node.policy.choose(
            run,
            engines,
            self._counts_at(node),
            node.behind,
            self._now,
        )
        if isinstance(chosen, Refuse):
            self._refuse(run, chosen.excess_seconds)
            return
        engine = next(one for one in engines if one.name == chosen.name)
        self._send(run, _Place(node, engine, chosen, self._now))

    def _counts_at(self, node: _Node) -> Counter[str]:
        """Return the requests that a node believes in."""
        counts = node.counts.copy()
        if self._shares_counts:
            for other in self._nodes:
                if other is not node:
                    counts.update(other.told)
        return counts

    def _send(self, run: Run, place: _Place) -> None:
        self._places[run] = place
        place.counts()[place.engine.name] += 1
        place.engine.put(run, _LATE_RANK if place.sent.is_deferred else 0)
        self._begin_pass(place.engine)
        if run.first_at is None:
            patience = max(
                _PATIENCE_SECONDS,
                4 * run.route.objective_seconds,
            )
            self._at(self._now + patience, lambda: self._leave(run, place))

    def _refuse(self, run: Run, seconds: float) -> None:
        if run.has_returned or run.first_at is not None:
            self._end(run, Outcome.REFUSED)
            return
        run.has_returned = True
        self._at(self._now + seconds, lambda: self._come(run))

    def _leave(self, run: Run, place: _Place) -> None:
        if run.first_at is None and self._places.get(run) is place:
            self._end(run, Outcome.LEFT)

    def _begin_pass(self, engine: Engine) -> None:
        if engine.is_busy or engine.is_dead:
            return
        seconds = engine.begin_pass()
        if seconds is not None:
            engine.is_busy = True
            self._at(self._now + seconds, lambda: self._end_pass(engine))

    def _end_pass(self, engine: Engine) -> None:
        engine.is_busy = False
        if engine.is_dead:
            return
        for run in engine.writers:
            self._note_first(run)
        for run in engine.end_pass(self._now + _WAY_SECONDS):
            self.result.note_whole(run)
            self._forget(run)
        self._begin_pass(engine)

    def _note_first(self, run: Run) -> None:
        place = self._places.get(run)
        if place is None or place.has_begun:
            return
        took = self._now + _WAY_SECONDS - place.sent_at
        place.begin()
        if run.first_at is None:
            place.node.policy.note_first(run, place.sent, took, self._now)

    def _die(self, death: Death) -> None:
        engine = self._engines[death.engine]
        if engine.is_dead:
            return
        moved = engine.runs()
        engine.is_dead = True
        for run in moved:
            place = self._places.pop(run)
            place.counts()[engine.name] -= 1
            self._at(
                self._now + _MOVED_SECONDS,
                functools.partial(self._come, run),
            )
        self._engines[death.engine] = Engine(
            f'{engine.name}+',
            engine.model,
            engine.profile,
            self._now + death.seconds,
        )

    def _end(self, run: Run, outcome: Outcome) -> None:
        self.result.note(run, outcome)
        self._forget(run)

    def _forget(self, run: Run) -> None:
        run.is_over = True
        self._left -= 1
        place = self._places.pop(run, None)
        if place is not None:
            place.counts()[place.engine.name] -= 1


def play(
    engines: Sequence[Engine],
    policies: Sequence[Policy],
    loads: Sequence[Load],
    seconds: float,
    source: random.Random,
    deaths: Sequence[Death] = (),
) -> Result:
    """Draw the requests of some loads and play them."""
    runs = [
        run
        for load in loads
        for run in load.arrivals(source, seconds, len(policies))
    ]
    return World(engines, policies).run(runs, deaths)
