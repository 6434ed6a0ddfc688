"""Calls at a plain service of which some instances fail, in three ways.

Drawn faults over half a minute: an instance that goes down and up and resets
what comes meanwhile, one that loses answers after it has run, one that answers
a part with an error. Each of many nodes sends seldom, so that what it learns
itself is of little use to it. Told are calls in a thousand that fail in the end.
"""

import random
import statistics
from collections.abc import Sequence

import attrs

from cranecart.routing import OutlierEjection

_SEEDS = 40
_NODES = 78
_INSTANCES = 3
_PER_SECOND = 23.0
_SECONDS = 30.0
# Four of five calls must not run twice, as on the users' sheets.
_UNSAFE_PART = 0.8
# From a broken connection until all nodes have heard of it, by relays.
_TELL_SECONDS = 0.02
_THOUSAND = 1000
# What is drawn, in seconds and parts, about as on the users' days.
_LASTS = (4, 9)
_PERIODS = (0.8, 1.6)
_PARTS = (0.03, 0.45)


@attrs.frozen
class Fault:
    """What is wrong with an instance, from when until when.

    One with a ``period`` is down in every other; any other fails a ``part``.
    """

    instance: int
    begins: float
    ends: float
    period: float = 0
    part: float = 0
    is_error: bool = False

    def hits(self, instance: int, now: float, chance: float) -> bool:
        """Tell whether a call that comes now is hit."""
        if instance != self.instance or not self.begins <= now < self.ends:
            return False
        if self.period:
            return int((now - self.begins) / self.period) % 2 == 0
        return chance < self.part


@attrs.frozen
class Way:
    """When a target that broke a connection is passed over, and by whom."""

    name: str
    at_once: bool
    told: bool


WAYS = (
    Way('three in a row, each node for itself', at_once=False, told=False),
    Way('at once, each node for itself', at_once=True, told=False),
    Way('at once, told to all', at_once=True, told=True),
)


class _World:
    """Nodes that send calls at drawn moments to instances that fail."""

    def __init__(self, seed: int, way: Way) -> None:
        self._source = random.Random(seed)
        self._way = way
        self.now = float(0)
        self._faults = tuple(_draw(self._source))
        self._ejections = [
            OutlierEjection(self._clock, int) for _node in range(_NODES)
        ]
        self._heard: list[tuple[float, int]] = []

    def failed_in_thousand(self) -> float:
        """Play; return how many calls failed in the end."""
        sent = 0
        failed = 0
        while self.now < _SECONDS:
            self.now += self._source.expovariate(_PER_SECOND)
            self._hear()
            sent += 1
            failed += not self._call()
        return failed / sent * _THOUSAND

    def _clock(self) -> float:
        return self.now

    def _call(self) -> bool:
        ejection = self._source.choice(self._ejections)
        attempts = 1 if self._source.random() < _UNSAFE_PART else 2
        left = list(range(_INSTANCES))
        for _attempt in range(attempts):
            chosen = self._source.choice(ejection.without_ejected(left))
            left.remove(chosen)
            if self._succeeds(ejection, chosen):
                return True
        return False

    def _succeeds(self, ejection: OutlierEjection, chosen: int) -> bool:
        chance = self._source.random()
        hit = [
            fault
            for fault in self._faults
            if fault.hits(chosen, self.now, chance)
        ]
        if not hit:
            ejection.record_success(chosen)
            return True
        broke = not hit[0].is_error
        ejection.record_failure(
            chosen, reached=not (broke and self._way.at_once)
        )
        if broke and self._way.told:
            self._heard.append((self.now + _TELL_SECONDS, chosen))
        return False

    def _hear(self) -> None:
        due = [name for at, name in self._heard if at <= self.now]
        self._heard = [one for one in self._heard if one[0] > self.now]
        for name in due:
            for ejection in self._ejections:
                ejection.eject_reported(name)


def _draw(source: random.Random) -> Sequence[Fault]:
    hit = [one for one in range(_INSTANCES) if source.getrandbits(1)]
    return [_draw_fault(source, instance) for instance in hit]


def _draw_fault(source: random.Random, instance: int) -> Fault:
    kind = source.choice(('flaps', 'loses', 'errs'))
    begins = source.uniform(0, _SECONDS / 2)
    return Fault(
        instance,
        begins,
        begins + source.uniform(*_LASTS),
        source.uniform(*_PERIODS) if kind == 'flaps' else 0,
        source.uniform(*_PARTS),
        is_error=kind == 'errs',
    )


def measure() -> dict[str, float]:
    """Return the calls in a thousand that fail, by way."""
    return {way.name: round(_mean_failed(way), 2) for way in WAYS}


def _mean_failed(way: Way) -> float:
    return statistics.fmean(
        _World(seed, way).failed_in_thousand() for seed in range(_SEEDS)
    )
