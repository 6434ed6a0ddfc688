"""Send a seeded load at a steady rate."""

import random
import time
from collections.abc import Iterable, Iterator, Sequence

import attrs
import curio

from cranecart.load_testing._balancer import Balancer
from cranecart.load_testing._calls import LoadCall, Outcome, OutcomeKind
from cranecart.load_testing._sending import send_call

_REPEAT_SECONDS = 1.0
_KEY_BITS = 32


@attrs.frozen(kw_only=True)
class Profile:
    """What a load is made of; shares are of all calls."""

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
    """Yield calls; the same seed gives the same calls."""
    source = random.Random(seed)
    for number in range(count):
        key = f'{seed}-{number}-{source.getrandbits(_KEY_BITS):08x}'
        call = LoadCall(
            key=key,
            api_key=source.choice(profile.api_keys),
            prompt=f'{source.choice(prompts)} #{number}',
            tokens=profile.tokens,
            repeatable=source.random() >= profile.non_repeatable_share,
            deadline_ms=profile.deadline_ms,
        )
        yield _aimed(call, profile, source)


def _aimed(call: LoadCall, profile: Profile, source: random.Random) -> LoadCall:
    if profile.services and source.random() < profile.service_share:
        service, path = source.choice(profile.services)
        return attrs.evolve(call, service=service, path=path)
    return attrs.evolve(
        call,
        model=source.choice(profile.models),
        stream=source.random() < profile.stream_share,
    )


async def run_load(
    balancer: Balancer,
    calls: Iterable[LoadCall],
    per_second: float,
    repeats: int = 0,
) -> list[Outcome]:
    """Send calls at a rate, whatever becomes of the earlier ones.

    A call that was refused or whose outcome is unknown is sent again, with
    the same key, up to ``repeats`` times, as a patient client would.
    """
    outcomes: list[Outcome] = []
    started = time.monotonic()
    async with curio.TaskGroup(wait=all) as sending:
        for number, call in enumerate(calls):
            due = started + number / per_second
            await curio.sleep(max(0, due - time.monotonic()))
            await sending.spawn(_send, balancer, call, repeats, outcomes)
    return outcomes


async def _send(
    balancer: Balancer,
    call: LoadCall,
    repeats: int,
    outcomes: list[Outcome],
) -> None:
    for _attempt in range(repeats + 1):
        outcome = await send_call(balancer.choose(), call)
        outcomes.append(outcome)
        if outcome.kind is OutcomeKind.ANSWERED:
            return
        await curio.sleep(outcome.retry_after or _REPEAT_SECONDS)
