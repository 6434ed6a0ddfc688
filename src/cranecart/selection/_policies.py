"""Policies for choosing among complete replicas, selected in the settings."""

import hashlib
import random
from collections.abc import Callable, Sequence

import attrs

from cranecart.targets import ServingReplica

_DIGEST_BYTES = 8
_SAMPLE_SIZE = 2

Load = Callable[[ServingReplica], float]


@attrs.frozen
class PrefixAffinity:
    """Rendezvous hashing by prompt prefix, with bounded load.

    All nodes rank replicas alike without communicating, so that prefix caches
    stay warm. A replica above ``bound`` times the mean load is passed over.
    """

    bound: float = 1.25


@attrs.frozen
class TwoChoices:
    """The less loaded of two replicas sampled at random."""


@attrs.frozen
class LeastLoaded:
    """The least loaded replica, by load reports that may be stale."""


Policy = PrefixAffinity | TwoChoices | LeastLoaded

POLICIES: tuple[str, ...] = ('prefix', 'two_choices', 'least_loaded')


@attrs.frozen
class Choice:
    """The chosen replica, the reason, and the replicas passed over for it."""

    replica: ServingReplica
    reason: str
    passed_over: tuple[str, ...] = ()


def policy_from_name(name: str) -> Policy:
    """Return the policy for a setting; raise ``ValueError`` if unknown."""
    match name:
        case 'prefix':
            return PrefixAffinity()
        case 'two_choices':
            return TwoChoices()
        case 'least_loaded':
            return LeastLoaded()
    raise ValueError(f'unknown routing policy: {name!r}')


def choose(
    policy: Policy,
    replicas: Sequence[ServingReplica],
    prefix: str,
    load: Load,
    rng: random.Random,
) -> Choice:
    """Choose a replica by a policy; there must be at least one."""
    match policy:
        case PrefixAffinity():
            return _by_prefix(policy, replicas, prefix, load)
        case TwoChoices():
            sampled = rng.sample(replicas, min(_SAMPLE_SIZE, len(replicas)))
            return Choice(min(sampled, key=load), 'less loaded of two')
        case LeastLoaded():
            return Choice(min(replicas, key=load), 'least loaded')


def _by_prefix(
    policy: PrefixAffinity,
    replicas: Sequence[ServingReplica],
    prefix: str,
    load: Load,
) -> Choice:
    ranked = sorted(
        replicas,
        key=lambda replica: _score(prefix, replica.id),
        reverse=True,
    )
    mean = sum(map(load, ranked)) / len(ranked)
    chosen = next(
        replica
        for replica in (*ranked, min(ranked, key=load))
        if load(replica) <= policy.bound * mean + 1 / replica.slots
    )
    skipped = ranked[: ranked.index(chosen)]
    reason = 'prefix, passing over overloaded replicas' if skipped else 'prefix'
    return Choice(chosen, reason, tuple(replica.id for replica in skipped))


def _score(prefix: str, replica_id: str) -> bytes:
    return hashlib.blake2b(
        f'{prefix}|{replica_id}'.encode(),
        digest_size=_DIGEST_BYTES,
    ).digest()
