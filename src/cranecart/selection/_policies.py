"""Ways to choose among whole replicas; one is picked in the settings."""

import hashlib
import random
from collections.abc import Callable, Sequence

import attrs

from cranecart.targets import ServingReplica

_DIGEST_BYTES = 8
_PAIR = 2

Load = Callable[[ServingReplica], float]


@attrs.frozen
class PrefixAffinity:
    """Rendezvous hashing by prompt prefix, with bounded load.

    All nodes rank replicas alike without a message, so that prefix caches
    stay warm; a replica over ``bound`` times the mean load is passed over.
    """

    bound: float = 1.25


@attrs.frozen
class TwoChoices:
    """The less loaded of two replicas drawn at random."""


@attrs.frozen
class LeastLoaded:
    """The least loaded replica, as far as late reports tell."""


Policy = PrefixAffinity | TwoChoices | LeastLoaded

POLICIES: tuple[str, ...] = ('prefix', 'two_choices', 'least_loaded')


@attrs.frozen
class Choice:
    """The chosen replica, why, and which were passed over for it."""

    replica: ServingReplica
    reason: str
    passed_over: tuple[str, ...] = ()


def policy_from_name(name: str) -> Policy:
    """Return the policy of a setting; raise ``ValueError`` if unknown."""
    match name:
        case 'prefix':
            return PrefixAffinity()
        case 'two_choices':
            return TwoChoices()
        case 'least_loaded':
            return LeastLoaded()
    raise ValueError(f'there is no routing policy {name!r}')


def choose(
    policy: Policy,
    replicas: Sequence[ServingReplica],
    prefix: str,
    load: Load,
    source: random.Random,
) -> Choice:
    """Choose one of at least one replica."""
    match policy:
        case PrefixAffinity():
            return _by_prefix(policy, replicas, prefix, load)
        case TwoChoices():
            drawn = source.sample(replicas, min(_PAIR, len(replicas)))
            return Choice(min(drawn, key=load), 'less loaded of two')
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
    over = ranked[: ranked.index(chosen)]
    reason = 'first for its prefix over its load' if over else 'prefix'
    return Choice(chosen, reason, tuple(replica.id for replica in over))


def _score(prefix: str, replica_id: str) -> bytes:
    return hashlib.blake2b(
        f'{prefix}|{replica_id}'.encode(),
        digest_size=_DIGEST_BYTES,
    ).digest()
