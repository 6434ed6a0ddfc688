"""Leave out the targets that take no request now, by what they have said."""

from collections.abc import Callable, Sequence
from typing import TypeVar

from cranecart.exceptions import OverloadedError
from cranecart.fleet import ServingHead
from cranecart.ports import ListedInstance
from cranecart.throttling import TargetThrottle

Named = TypeVar('Named', ServingHead, ListedInstance)
# Draws some targets to decide between.
Draw = Callable[[Sequence[ServingHead]], Sequence[ServingHead]]


def draw_available(
    heads: Sequence[ServingHead],
    gate: TargetThrottle,
    rank: int,
    draw: Draw,
    return_after: Callable[[float], float],
) -> tuple[Sequence[ServingHead], int]:
    """Draw some of the replicas that take requests; count those left out.

    All of them are looked at only where none of the first drawn does: among
    many this costs more than the decision. Raise ``OverloadedError`` where none
    takes any.
    """
    drawn = draw(heads)
    if gate.is_unrestricted:
        return drawn, 0
    taking = _open_ones(drawn, gate, rank)
    if taking:
        return taking, len(drawn) - len(taking)
    every = available_targets(heads, gate, rank, return_after)
    return draw(every), len(heads) - len(every)


def available_targets(
    targets: Sequence[Named],
    gate: TargetThrottle,
    rank: int,
    return_after: Callable[[float], float],
) -> Sequence[Named]:
    """Return the targets that take requests of a rank.

    Raise ``OverloadedError`` where none of them does: they are not asked.
    ``return_after`` makes of the seconds until one does when to come back.
    """
    if gate.is_unrestricted:
        return targets
    taking = _open_ones(targets, gate, rank)
    if taking:
        return taking
    gate.record_rejection((one.incarnation for one in targets), rank)
    seconds = min(
        gate.seconds_until_accepted(one.incarnation) for one in targets
    )
    raise OverloadedError(
        f'none of {len(targets)} targets takes more, as they have said; '
        f'the first does in {seconds:.2f} s',
        retry_after=return_after(seconds),
    )


def _open_ones(
    targets: Sequence[Named],
    gate: TargetThrottle,
    rank: int,
) -> list[Named]:
    return [one for one in targets if gate.accepts(one.incarnation, rank)]
