"""Take over that an instance says itself that it leaves."""

from cranecart.fleet._fleet import Fleet
from cranecart.logs import decision
from cranecart.ports import Life


def note_leaving(fleet: Fleet, life: Life, by: str) -> bool:
    """Take over that a life says that it leaves; tell if it is news.

    What it belongs to is ended and replaced as if its entry had said so.
    """
    if not fleet.listing.leave(life):
        return False
    decision('target_leaving', instance=life.id, born=life.born, by=by)
    known = fleet.instances.get(life.id)
    if known is not None:
        fleet.take_instances({life.id: known}, False)
    return True
