"""Run a load while a test injects faults."""

from collections.abc import Awaitable, Callable

import curio

from cranecart.load_testing import Outcome, Profile, make_calls, run_load
from tools.local_cluster import LocalCluster

FaultInjection = Callable[[], Awaitable[None]]

_BALANCER_SECONDS = 1.0


def run_under_load(
    cluster: LocalCluster,
    inject_faults: FaultInjection,
    profile: Profile,
    seconds: float,
    per_second: float = 20,
    retries: int = 0,
) -> list[Outcome]:
    """Send a load with a fixed seed and inject faults while it runs."""

    async def run() -> list[Outcome]:  # noqa: WPS430
        balancer = cluster.control.balancer()
        polling = await curio.spawn(balancer.run, daemon=True)
        await curio.sleep(_BALANCER_SECONDS)
        faults = await curio.spawn(inject_faults)
        count = round(seconds * per_second)
        calls = make_calls(profile, ['one', 'two', 'three'], count, seed=5)
        outcomes = await run_load(balancer, calls, per_second, retries)
        await faults.join()
        await polling.cancel()
        return outcomes

    return curio.run(run)


def language_profile(**changes: object) -> Profile:
    """Return a profile with only calls of the example's model."""
    options: dict[str, object] = {
        'api_keys': ['demo-budapest', 'demo-gyor'],
        'models': ['nyelvi-szerver'],
        'tokens': 24,
        **changes,
    }
    return Profile(**options)  # type: ignore[arg-type]
