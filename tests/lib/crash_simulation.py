"""Drawn days on which targets end, with or without a request as the cause.

A model in simulated time: requests wait at a target, begin, run, and move when
it ends; all evidence is seen, and all nodes know the same at once, which is the
worst for those who are there by chance. Usage, by hand:
python -m tests.lib.crash_simulation DAYS
"""

import heapq
import itertools
import random
import statistics
import sys
from collections.abc import Callable, Iterator

import attrs

from cranecart.ports import Incarnation
from cranecart.quarantine import CaseRegistry, CaseUpdate, Termination, Verdict

_DAY_SECONDS = 60.0
# Streams on the users' sheets: some tenths of a second of waiting, a second of
# answers, three targets a try, and one more try of the client.
_WAIT_SECONDS = 0.2
_RUN_SECONDS = 1.0
_TRIES = 6
_A_SECOND_EACH = 2.0
_BACK_SECONDS = 3.0
_BEGIN_SECONDS = 0.25
# From the begin of what ends a target to its end.
_CAUSE_SECONDS = 0.08
_CAUSE_EVERY_SECONDS = 0.3


# When something is due, what tells equals apart, and what it is.
_Due = tuple[float, int, Callable[[], None]]


@attrs.define(eq=False)
class Asked:
    """One request on its way; times in seconds of the day."""

    name: str
    is_cause: bool = False
    tries: int = 0
    begun_at: float | None = None
    # Rises with each move, so that what was due before counts no more.
    stay: int = 0


@attrs.define
class Spot:
    """One target: its life, and who is there."""

    number: int
    life: int = 0
    is_up: bool = True
    there: list[Asked] = attrs.field(factory=list)


@attrs.define
class CrashSimulation:
    """One drawn day."""

    replicas: int
    seed: int
    ends_a_second: float
    has_cause: bool
    # Whether ends show only once their targets are back.
    tells_late: bool = False
    held_by_chance: int = 0
    requests: int = 0
    cause_ends: int = 0
    refused_cause: int = 0
    _now: float = 0
    _random: random.Random = attrs.field(init=False)
    _book: CaseRegistry = attrs.field(init=False)
    _spots: list[Spot] = attrs.field(init=False)
    _due: list[_Due] = attrs.field(
        factory=list,
        init=False,
    )
    _numbers: Iterator[int] = attrs.field(
        factory=itertools.count,
        init=False,
    )

    def __attrs_post_init__(self) -> None:
        """Draw nothing yet."""
        self._random = random.Random(self.seed)
        self._book = CaseRegistry(lambda: self._now)
        self._spots = [Spot(number) for number in range(self.replicas)]

    def play(self) -> 'CrashSimulation':
        """Play the day."""
        self._arrive()
        self._strike()
        if self.has_cause:
            self._send_cause()
        while self._due:
            now, _number, event = heapq.heappop(self._due)
            if now > _DAY_SECONDS:
                break
            self._now = now
            event()
        return self

    def _at(self, seconds: float, event: Callable[[], None]) -> None:
        heapq.heappush(
            self._due,
            (self._now + seconds, next(self._numbers), event),
        )

    def _arrive(self) -> None:
        self.requests += 1
        self._send(Asked(f'r{self.requests}'))
        rate = self.replicas * _A_SECOND_EACH
        self._at(self._random.expovariate(rate), self._arrive)

    def _send_cause(self) -> None:
        self._send(Asked('cause', is_cause=True))
        self._at(_CAUSE_EVERY_SECONDS, self._send_cause)

    def _strike(self) -> None:
        """End some target for reasons of its own."""
        up = [spot for spot in self._spots if spot.is_up]
        if up:
            self._end(self._random.choice(up))
        self._at(
            self._random.expovariate(self.ends_a_second),
            self._strike,
        )

    def _send(self, one: Asked) -> None:
        standing = self._book.verdict(one.name)
        if standing is Verdict.HELD:
            self.held_by_chance += not one.is_cause
            self.refused_cause += one.is_cause
            return
        spot = self._choose(standing)
        if spot is None or one.tries >= _TRIES:
            return
        one.tries += 1
        one.stay += 1
        one.begun_at = None
        spot.there.append(one)
        stay = one.stay
        self._at(
            self._random.uniform(0, 2 * _WAIT_SECONDS),
            lambda: self._begin(one, stay, spot),
        )

    def _choose(self, standing: Verdict) -> Spot | None:
        up = [spot for spot in self._spots if spot.is_up]
        suspects = standing in {Verdict.SUSPECT, Verdict.ISOLATED}
        shunned = (
            {Verdict.SUSPECT, Verdict.ISOLATED}
            if suspects
            else {Verdict.ISOLATED}
        )
        good = [
            spot
            for spot in up
            if not any(
                self._book.verdict(other.name) in shunned
                for other in spot.there
            )
        ]
        # Two are drawn and the less loaded is taken, as by counts a beat old.
        pool = good or up
        drawn = self._random.sample(pool, min(2, len(pool)))
        return min(drawn, key=lambda spot: len(spot.there), default=None)

    def _begin(self, one: Asked, stay: int, spot: Spot) -> None:
        if one.stay != stay or one not in spot.there:
            return
        one.begun_at = self._now
        if one.is_cause:
            life = spot.life
            self._at(_CAUSE_SECONDS, lambda: self._end_by(spot, life))
            return
        seconds = self._random.expovariate(1 / _RUN_SECONDS)
        self._at(seconds, lambda: self._finish(one, stay, spot))

    def _end_by(self, spot: Spot, life: int) -> None:
        if spot.is_up and spot.life == life:
            self.cause_ends += 1
            self._end(spot)

    def _finish(self, one: Asked, stay: int, spot: Spot) -> None:
        if one.stay != stay or one not in spot.there:
            return
        spot.there.remove(one)
        news = self._book.clearing_update(one.name)
        if news is not None:
            self._book.merge(news, is_own=True)

    def _end(self, spot: Spot) -> None:
        there = spot.there
        spot.there = []
        life = Incarnation(f'i{spot.number}', spot.life)
        spot.is_up = False
        self._at(_BACK_SECONDS, lambda: self._back(spot))
        for one in there:
            self._blame(one, life)
        for one in there:
            self._send(one)

    def _blame(self, one: Asked, life: Incarnation) -> None:
        begun = one.begun_at is not None
        ran = 0 if one.begun_at is None else self._now - one.begun_at
        if ran <= _BEGIN_SECONDS:
            news = CaseUpdate(one.name, (Termination(life, begun),))
            seconds = _BACK_SECONDS if self.tells_late else 0
            self._at(seconds, lambda: self._hear(news))

    def _hear(self, news: CaseUpdate) -> None:
        self._book.merge(news, is_own=True)

    def _back(self, spot: Spot) -> None:
        spot.life += 1
        spot.is_up = True


def main(days: int) -> None:
    """Print what many days give."""
    kinds = itertools.product((100, 8), (False, True), (False, True))
    for replicas, has_cause, tells_late in kinds:
        rate = 1.0 if replicas > 8 else 0.4
        played = [
            CrashSimulation(replicas, seed, rate, has_cause, tells_late).play()
            for seed in range(days)
        ]
        ends = [one.cause_ends for one in played]
        sys.stdout.write(
            f'{replicas} replicas, cause {has_cause}, ends told late '
            f'{tells_late}: held by chance '
            f'{sum(one.held_by_chance for one in played)} of '
            f'{sum(one.requests for one in played)} requests in {days} days; '
            f'ends by the cause: median {statistics.median(ends)}, '
            f'most {max(ends)}\n',
        )
        sys.stdout.flush()


if __name__ == '__main__':
    main(int(sys.argv[1]))
