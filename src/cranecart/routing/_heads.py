"""Choose the replica, or the instance of a plain service, for a request."""

import contextlib
import random
from collections import Counter
from collections.abc import Callable, Collection, Generator, Sequence
from typing import TypeVar

import attrs

from cranecart.exceptions import NoReplicaError, OverloadedError
from cranecart.fleet import Fleet, ServingHead
from cranecart.models import RouteConfig, ServiceProfile
from cranecart.ports import ListedInstance
from cranecart.routing._ejection import Ejection

# A replica takes as many requests beyond those it runs at once before
# requests for it are refused; they wait a run's time there, about a second,
# while clients leave after two.
_QUEUE_PART = 1.0
# Plain services queue up to four times their slots on the users' sheets.
_PLAIN_QUEUE_PART = 2.0
# When to come back after a refusal: about the time in which a repaired
# replica opens, and in which a full one ends a request.
_NO_REPLICA_SECONDS = 0.5
_FULL_SECONDS = 0.2

_Named = TypeVar('_Named', ServingHead, ListedInstance)


@attrs.frozen
class Target:
    """Where one attempt goes, and why."""

    instance: ListedInstance
    forming: tuple[str, int] | None
    load: int
    reason: str


@attrs.define
class HeadRouter:
    """Routes by the fewest requests in flight, own and other nodes'."""

    _fleet: Fleet
    _random: random.Random
    _elsewhere: Callable[[str], int]
    _ejection: Ejection = attrs.field(factory=Ejection, init=False)
    _in_flight: Counter[str] = attrs.field(factory=Counter, init=False)

    def choose(
        self,
        config: RouteConfig,
        service: str,
        model: str,
        tried: Collection[str],
    ) -> Target:
        """Return where to send; raise ``NoReplicaError`` if nowhere."""
        profile = config.services.get(service)
        if profile is None or profile.engine is None:
            return self._choose_plain(service, tried)
        return self._choose_head(profile, model, tried)

    @contextlib.contextmanager
    def in_flight(self, name: str) -> Generator[None, None, None]:
        """Count one request more at an instance while the context lasts."""
        self._in_flight[name] += 1
        try:
            yield
        finally:
            self._in_flight[name] -= 1

    def counts(self) -> Counter[str]:
        """Return this node's requests in flight by instance."""
        return self._in_flight

    def failed(self, name: str) -> None:
        """Count a failure that was the instance's."""
        self._ejection.failed(name)

    def succeeded(self, name: str) -> None:
        """Forget an instance's failures."""
        self._ejection.succeeded(name)

    def load(self, name: str) -> int:
        """Return the requests in flight at an instance over all nodes."""
        return self._in_flight[name] + self._elsewhere(name)

    def _choose_head(
        self,
        profile: ServiceProfile,
        model: str,
        tried: Collection[str],
    ) -> Target:
        heads = [
            head
            for head in self._fleet.heads(profile.name, model)
            if head.id not in tried
        ]
        if not heads:
            raise NoReplicaError(
                f'no whole replica of {model!r} serves',
                retry_after=_NO_REPLICA_SECONDS,
            )
        chosen = self._least_loaded(self._ejection.without_ejected(heads))
        load = self.load(chosen.id)
        slots = profile.engine.slots if profile.engine else 1
        _check_load(load, slots * (1 + _QUEUE_PART))
        return Target(chosen.head, chosen.forming, load, 'fewest in flight')

    def _choose_plain(self, service: str, tried: Collection[str]) -> Target:
        instances = [
            instance
            for instance in self._fleet.plain(service)
            if instance.id not in tried
        ]
        if not instances:
            raise NoReplicaError(
                f'no instance of {service!r} serves',
                retry_after=_NO_REPLICA_SECONDS,
            )
        chosen = self._least_loaded(self._ejection.without_ejected(instances))
        load = self.load(chosen.id)
        _check_load(load, chosen.slots * (1 + _PLAIN_QUEUE_PART))
        return Target(chosen, None, load, 'fewest in flight')

    def _least_loaded(self, targets: Sequence[_Named]) -> _Named:
        ranked = [
            (self.load(one.id), self._random.random(), one) for one in targets
        ]
        return min(ranked, key=lambda entry: entry[:2])[2]


def _check_load(load: int, most: float) -> None:
    if load >= most:
        raise OverloadedError(
            f'the least loaded target has {load} requests',
            retry_after=_FULL_SECONDS,
        )
