"""Choose targets among the serving ones, preferring local ones."""

import contextlib
import random
from collections import Counter
from collections.abc import Collection, Generator, Iterable

import attrs

from cranecart.exceptions import (
    NoReplicaError,
    TargetFailedError,
    TargetUnreachableError,
)
from cranecart.instances import Instance
from cranecart.logs import log_decision
from cranecart.routing import OutlierEjection
from cranecart.selection._policies import Policy, PrefixAffinity, choose
from cranecart.targets import (
    CompletionCall,
    ServiceCall,
    ServingReplica,
    TargetDirectory,
)


@attrs.define
class Router:
    """Routes the calls of one node, counting its own calls in flight."""

    _directory: TargetDirectory
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
        """Return a complete replica; raise ``NoReplicaError`` if none is left.

        Replicas of the node's own failure domain are preferred; among those
        the policy chooses.
        """
        candidates = [
            replica
            for replica in self._directory.replicas()
            if _serves(replica, call) and replica.id not in tried
        ]
        if not candidates:
            raise NoReplicaError(
                f'no complete replica of {call.model} is serving'
            )
        choice = choose(
            self._policy,
            self._prefer_local(self._ejection.without_ejected(candidates)),
            call.prefix,
            self.load,
            self._random,
        )
        chosen = choice.replica
        log_decision(
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
        candidates = [
            instance
            for instance in self._directory.services(call.service)
            if instance.id not in tried
        ]
        if not candidates:
            raise NoReplicaError(f'no instance of {call.service} is serving')
        candidates = self._ejection.without_ejected(candidates)
        local = [
            instance
            for instance in candidates
            if instance.failure_domain == self._directory.failure_domain
        ]
        preferred = local or candidates
        sampled = self._random.sample(preferred, min(2, len(preferred)))
        chosen = min(sampled, key=lambda instance: self._in_flight[instance.id])
        log_decision(
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
        """Count a call at a target while the context lasts."""
        self._in_flight[name] += 1
        try:
            yield
        except (TargetUnreachableError, TargetFailedError):
            self._ejection.record_failure(name)
            raise
        finally:
            self._in_flight[name] -= 1
        self._ejection.record_success(name)

    def load(self, replica: ServingReplica) -> float:
        """Return the load per slot: the larger of reported and own calls."""
        reported = replica.running + replica.queued
        return max(reported, self._in_flight[replica.id]) / replica.slots

    def _prefer_local(
        self,
        replicas: Iterable[ServingReplica],
    ) -> list[ServingReplica]:
        candidates = list(replicas)
        local = [
            replica
            for replica in candidates
            if replica.failure_domain == self._directory.failure_domain
        ]
        return local or candidates


def _serves(replica: ServingReplica, call: CompletionCall) -> bool:
    return (
        replica.model == call.model
        and call.version in {'', replica.version}
        and (not call.adapter or call.adapter in replica.adapters)
    )
