"""Send a seeded load at a constant rate."""

import random
import time
from collections.abc import Iterable, Iterator, Sequence

import attrs
import curio

from cranecart.load_testing._balancer import Balancer
from cranecart.load_testing._calls import LoadCall, Outcome, OutcomeKind
from cranecart.load_testing._sending import send_call

_DEFAULT_RETRY_SECONDS = 1.0
_KEY_BITS = 32


@attrs.frozen(kw_only=True)
class Profile:
    """The composition of a load.

    ``stream_share`` is a share of the model calls, the others are shares of
    all calls.
    """

    api_keys: Sequence[str]
    models: Sequence[str]
    services: Sequence[tuple[str, str]] = ()
    tokens: int = 16
    stream_share: float = 0.5
    service_share: float = 0.2
    non_repeatable_share: float = 0.2
    deadline_ms: int = 30000


def make_calls(
    profile: Profile,
    prompts: Sequence[str],
    count: int,
    seed: int,
) -> Iterator[LoadCall]:
    """Yield calls that depend only on the arguments and the seed."""
    rng = random.Random(seed)
    for number in range(count):
        key = f'{seed}-{number}-{rng.getrandbits(_KEY_BITS):08x}'
        call = LoadCall(
            key=key,
            api_key=rng.choice(profile.api_keys),
            prompt=f'{rng.choice(prompts)} #{number}',
            tokens=profile.tokens,
            repeatable=rng.random() >= profile.non_repeatable_share,
            deadline_ms=profile.deadline_ms,
        )
        yield _with_destination(call, profile, rng)


def _with_destination(
    call: LoadCall, profile: Profile, rng: random.Random
) -> LoadCall:
    if profile.services and rng.random() < profile.service_share:
        service, path = rng.choice(profile.services)
        return attrs.evolve(call, service=service, path=path)
    return attrs.evolve(
        call,
        model=rng.choice(profile.models),
        stream=rng.random() < profile.stream_share,
    )


async def run_load(
    balancer: Balancer,
    calls: Iterable[LoadCall],
    per_second: float,
    retries: int = 0,
) -> list[Outcome]:
    """Send calls at a constant rate, without waiting for earlier ones.

    A call that is not answered is retried with the same idempotency key, up
    to ``retries`` times.
    """
    outcomes: list[Outcome] = []
    started = time.monotonic()
    async with curio.TaskGroup(wait=all) as sending:
        for number, call in enumerate(calls):
            due_at = started + number / per_second
            await curio.sleep(max(0, due_at - time.monotonic()))
            await sending.spawn(_send, balancer, call, retries, outcomes)
    return outcomes


async def _send(
    balancer: Balancer,
    call: LoadCall,
    retries: int,
    outcomes: list[Outcome],
) -> None:
    for _attempt in range(retries + 1):
        outcome = await send_call(balancer.choose(), call)
        outcomes.append(outcome)
        if outcome.kind is OutcomeKind.ANSWERED:
            return
        await curio.sleep(outcome.retry_after or _DEFAULT_RETRY_SECONDS)
