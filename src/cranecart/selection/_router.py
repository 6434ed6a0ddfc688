"""Choose targets among those that serve, near ones first."""

import contextlib
import random
from collections import Counter
from collections.abc import Collection, Generator, Iterable

import attrs

from cranecart.exceptions import (
    NoReplicaError,
    TargetBrokenError,
    TargetNotReachedError,
)
from cranecart.instances import Instance
from cranecart.logs import decision
from cranecart.routing import OutlierEjection
from cranecart.selection._policies import Policy, PrefixAffinity, choose
from cranecart.targets import (
    CompletionCall,
    Directory,
    ServiceCall,
    ServingReplica,
)


@attrs.define
class Router:
    """Routes calls of one node, with its own counts of work in flight."""

    _directory: Directory
    _random: random.Random
    _policy: Policy = attrs.field(factory=PrefixAffinity)
    _ejection: OutlierEjection = attrs.field(
        factory=OutlierEjection, init=False
    )
    _in_flight: Counter[str] = attrs.field(factory=Counter, init=False)

    def choose_replica(
        self,
        call: CompletionCall,
        tried: Collection[str] = (),
    ) -> ServingReplica:
        """Return a whole replica; raise ``NoReplicaError`` if none is left.

        Replicas of the own failure domain go first; among them the policy
        chooses.
        """
        matching = [
            replica
            for replica in self._directory.replicas()
            if _serves(replica, call) and replica.id not in tried
        ]
        if not matching:
            raise NoReplicaError(f'no whole replica of {call.model} serves')
        choice = choose(
            self._policy,
            self._prefer_local(self._ejection.without_ejected(matching)),
            call.prefix,
            self.load,
            self._random,
        )
        chosen = choice.replica
        decision(
            'routed',
            request=call.request_id,
            organisation=call.organisation,
            model=call.model,
            replica=chosen.id,
            generation=chosen.generation,
            load=self.load(chosen),
            why=choice.reason,
            passed_over=choice.passed_over,
            tried=list(tried),
        )
        return chosen

    def choose_instance(
        self,
        call: ServiceCall,
        tried: Collection[str] = (),
    ) -> Instance:
        """Return an instance of a plain service, the less loaded of two."""
        matching = [
            instance
            for instance in self._directory.services(call.service)
            if instance.id not in tried
        ]
        if not matching:
            raise NoReplicaError(f'no instance of {call.service} serves')
        matching = self._ejection.without_ejected(matching)
        near = [
            instance
            for instance in matching
            if instance.failure_domain == self._directory.failure_domain
        ]
        pool = near or matching
        pair = self._random.sample(pool, min(2, len(pool)))
        chosen = min(pair, key=lambda instance: self._in_flight[instance.id])
        decision(
            'routed',
            request=call.request_id,
            organisation=call.organisation,
            service=call.service,
            instance=chosen.id,
            why='less loaded of two',
            tried=list(tried),
        )
        return chosen

    @contextlib.contextmanager
    def track_in_flight(self, name: str) -> Generator[None, None, None]:
        """Count one call more at a target while the context lasts."""
        self._in_flight[name] += 1
        try:
            yield
        except (TargetNotReachedError, TargetBrokenError):
            self._ejection.record_failure(name)
            raise
        finally:
            self._in_flight[name] -= 1
        self._ejection.record_success(name)

    def load(self, replica: ServingReplica) -> float:
        """Return work in flight a slot: the larger of reported and own."""
        reported = replica.running + replica.queued
        return max(reported, self._in_flight[replica.id]) / replica.slots

    def _prefer_local(
        self,
        replicas: Iterable[ServingReplica],
    ) -> list[ServingReplica]:
        every = list(replicas)
        near = [
            replica
            for replica in every
            if replica.failure_domain == self._directory.failure_domain
        ]
        return near or every


def _serves(replica: ServingReplica, call: CompletionCall) -> bool:
    return (
        replica.model == call.model
        and call.version in {'', replica.version}
        and (not call.adapter or call.adapter in replica.adapters)
    )
