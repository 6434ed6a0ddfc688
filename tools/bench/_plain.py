"""Simulate outlier ejection at a plain service with faulty instances.

Random faults over half a minute: an instance that flaps and resets connections
while it is down, one that drops responses after the call has run, one that
returns errors for a share of the calls. Each of many nodes sends few calls, too
few to detect a fault alone. The result is the number of failed calls per
thousand.
"""

import random
import statistics
from collections.abc import Sequence

import attrs

from cranecart.routing import OutlierEjection

_SEEDS = 40
_NODES = 78
_INSTANCES = 3
_CALLS_PER_SECOND = 23.0
_SIMULATED_SECONDS = 30.0
# Four of five calls must not run twice, as in the users' workload.
_NON_REPEATABLE_SHARE = 0.8
# Time from a failed connection until its report has reached all nodes.
_REPORT_DELAY_SECONDS = 0.02
_PER_THOUSAND = 1000
# Ranges of random faults, close to those of the external benchmark.
_FAULT_SECONDS = (4, 9)
_FLAP_SECONDS = (0.8, 1.6)
_FAILURE_SHARES = (0.03, 0.45)


@attrs.frozen
class Fault:
    """A fault of an instance with its begin and end.

    With ``flap_seconds`` the instance is down in every other interval of that
    length; otherwise it fails a share of the calls.
    """

    instance: int
    begins: float
    ends: float
    flap_seconds: float = 0
    failure_share: float = 0
    is_error: bool = False

    def affects(self, instance: int, now: float, chance: float) -> bool:
        """Return whether a call at this time is affected."""
        if instance != self.instance or not self.begins <= now < self.ends:
            return False
        if self.flap_seconds:
            return int((now - self.begins) / self.flap_seconds) % 2 == 0
        return chance < self.failure_share


@attrs.frozen
class EjectionRule:
    """When a target with a failed connection is ejected, and by which nodes."""

    name: str
    at_once: bool
    is_reported: bool


EJECTION_RULES = (
    EjectionRule(
        'three in a row, each node for itself', at_once=False, is_reported=False
    ),
    EjectionRule(
        'at once, each node for itself', at_once=True, is_reported=False
    ),
    EjectionRule('at once, told to all', at_once=True, is_reported=True),
)


class _Simulation:
    """Nodes that send calls at random times to faulty instances."""

    def __init__(self, seed: int, rule: EjectionRule) -> None:
        self._random = random.Random(seed)
        self._rule = rule
        self.now = float(0)
        self._faults = tuple(_random_faults(self._random))
        self._ejections = [
            OutlierEjection(self._clock, int) for _node in range(_NODES)
        ]
        self._pending_reports: list[tuple[float, int]] = []

    def failures_per_thousand(self) -> float:
        """Run the simulation; return the failed calls per thousand."""
        sent = 0
        failed = 0
        while self.now < _SIMULATED_SECONDS:
            self.now += self._random.expovariate(_CALLS_PER_SECOND)
            self._deliver_reports()
            sent += 1
            failed += not self._call()
        return failed / sent * _PER_THOUSAND

    def _clock(self) -> float:
        return self.now

    def _call(self) -> bool:
        ejection = self._random.choice(self._ejections)
        attempts = 1 if self._random.random() < _NON_REPEATABLE_SHARE else 2
        candidates = list(range(_INSTANCES))
        for _attempt in range(attempts):
            chosen = self._random.choice(ejection.without_ejected(candidates))
            candidates.remove(chosen)
            if self._succeeds(ejection, chosen):
                return True
        return False

    def _succeeds(self, ejection: OutlierEjection, chosen: int) -> bool:
        chance = self._random.random()
        affected = [
            fault
            for fault in self._faults
            if fault.affects(chosen, self.now, chance)
        ]
        if not affected:
            ejection.record_success(chosen)
            return True
        connection_failed = not affected[0].is_error
        ejection.record_failure(
            chosen, reached=not (connection_failed and self._rule.at_once)
        )
        if connection_failed and self._rule.is_reported:
            self._pending_reports.append(
                (self.now + _REPORT_DELAY_SECONDS, chosen)
            )
        return False

    def _deliver_reports(self) -> None:
        due = [name for at, name in self._pending_reports if at <= self.now]
        self._pending_reports = [
            report for report in self._pending_reports if report[0] > self.now
        ]
        for name in due:
            for ejection in self._ejections:
                ejection.eject_reported(name)


def _random_faults(random_source: random.Random) -> Sequence[Fault]:
    affected = [
        instance
        for instance in range(_INSTANCES)
        if random_source.getrandbits(1)
    ]
    return [_random_fault(random_source, instance) for instance in affected]


def _random_fault(random_source: random.Random, instance: int) -> Fault:
    kind = random_source.choice(('flaps', 'loses', 'errs'))
    begins = random_source.uniform(0, _SIMULATED_SECONDS / 2)
    return Fault(
        instance,
        begins,
        begins + random_source.uniform(*_FAULT_SECONDS),
        random_source.uniform(*_FLAP_SECONDS) if kind == 'flaps' else 0,
        random_source.uniform(*_FAILURE_SHARES),
        is_error=kind == 'errs',
    )


def measure() -> dict[str, float]:
    """Return the failed calls per thousand by ejection rule."""
    return {
        rule.name: round(_mean_failures(rule), 2) for rule in EJECTION_RULES
    }


def _mean_failures(rule: EjectionRule) -> float:
    return statistics.fmean(
        _Simulation(seed, rule).failures_per_thousand()
        for seed in range(_SEEDS)
    )
