"""Take over that an instance says itself that it leaves."""

from cranecart.fleet._fleet import Fleet
from cranecart.logs import decision
from cranecart.ports import Incarnation


def mark_leaving(fleet: Fleet, incarnation: Incarnation, by: str) -> bool:
    """Take over that a life says that it leaves; tell if it is news.

    What it belongs to is ended and replaced as if its entry had said so.
    """
    if not fleet.instance_list.mark_leaving(incarnation):
        return False
    decision(
        'target_leaving', instance=incarnation.id, born=incarnation.born, by=by
    )
    known = fleet.instances.get(incarnation.id)
    if known is not None:
        fleet.apply_instances({incarnation.id: known}, False)
    return True
