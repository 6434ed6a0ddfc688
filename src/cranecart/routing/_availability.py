"""Leave out targets whose own limits allow no request now."""

from collections.abc import Callable, Sequence
from typing import TypeVar

from cranecart.exceptions import OverloadedError, TargetsOutOfReachError
from cranecart.fleet import ServingHead
from cranecart.ports import ListedInstance
from cranecart.reachability import TargetPaths
from cranecart.routing._request import RoutingRequest
from cranecart.throttling import TargetThrottle

TargetT = TypeVar('TargetT', ServingHead, ListedInstance)
# Samples some replicas to decide between.
Draw = Callable[[Sequence[ServingHead]], Sequence[ServingHead]]


def reached_targets(
    targets: Sequence[TargetT], paths: TargetPaths, request: RoutingRequest
) -> Sequence[TargetT]:
    """Return the targets that this node reaches over its own paths.

    Raise ``TargetsOutOfReachError`` if it reaches none.
    """
    if not paths.is_impaired:
        return targets
    instances = map(_instance_of, targets)
    reached = [
        target
        for target, instance in zip(targets, instances, strict=True)
        if not paths.is_unreached(instance)
        or (request.tries_unreached and not paths.is_lost(instance))
    ]
    if not reached:
        raise TargetsOutOfReachError(
            f'this node reaches none of {len(targets)} targets',
        )
    return reached


def draw_available(
    heads: Sequence[ServingHead],
    throttle: TargetThrottle,
    rank: int,
    draw: Draw,
    retry_after: Callable[[float], float],
) -> tuple[Sequence[ServingHead], int]:
    """Return a sample of replicas that accept requests, and how many do not.

    Checking all of many replicas costs more than the decision itself, so this
    is done only if none of the first sample accepts. Only the replicas that
    were checked are counted. Raise ``OverloadedError`` if no replica accepts.
    """
    sampled = draw(heads)
    if throttle.is_unrestricted:
        return sampled, 0
    accepting = _accepting(sampled, throttle, rank)
    if accepting:
        return accepting, len(sampled) - len(accepting)
    available = available_targets(heads, throttle, rank, retry_after)
    return draw(available), len(heads) - len(available)


def available_targets(
    targets: Sequence[TargetT],
    throttle: TargetThrottle,
    rank: int,
    retry_after: Callable[[float], float],
) -> Sequence[TargetT]:
    """Return the targets that accept requests of a rank.

    Raise ``OverloadedError`` if none does, so that nothing is sent to them.
    ``retry_after`` turns the seconds until one accepts into the client's retry
    time.
    """
    if throttle.is_unrestricted:
        return targets
    accepting = _accepting(targets, throttle, rank)
    if accepting:
        return accepting
    throttle.record_rejection((target.incarnation for target in targets), rank)
    seconds = min(
        throttle.seconds_until_accepted(target.incarnation)
        for target in targets
    )
    raise OverloadedError(
        f'all {len(targets)} targets are at the limits that they announced; '
        f'the first accepts requests in {seconds:.2f} s',
        retry_after=retry_after(seconds),
    )


def seconds_until_cold_accepts(
    targets: Sequence[TargetT], throttle: TargetThrottle, rank: int
) -> float:
    """Return when the first cold target accepts that does not accept now.

    It is infinite if there is none. Targets that only announced a limit do not
    count, as a service without cold targets keeps its retry times.
    """
    return min(
        (
            throttle.seconds_until_accepted(target.incarnation)
            for target in targets
            if throttle.cold_seconds(target.incarnation)
            and not throttle.accepts(target.incarnation, rank)
        ),
        default=float('inf'),
    )


def _instance_of(target: ServingHead | ListedInstance) -> ListedInstance:
    """Return the instance that the requests of a target are sent to."""
    return target.head if isinstance(target, ServingHead) else target


def _accepting(
    targets: Sequence[TargetT],
    throttle: TargetThrottle,
    rank: int,
) -> list[TargetT]:
    return [
        target
        for target in targets
        if throttle.accepts(target.incarnation, rank)
    ]
