"""Mark instances as leaving when they announce it themselves."""

from cranecart.fleet._fleet import Fleet
from cranecart.logs import log_decision
from cranecart.ports import Incarnation


def mark_leaving(fleet: Fleet, incarnation: Incarnation, source: str) -> bool:
    """Mark an incarnation as leaving; return whether this is a change.

    Its replica is shut down and replaced as if its list entry had shown this.
    """
    if not fleet.instance_list.mark_leaving(incarnation):
        return False
    log_decision(
        'target_leaving',
        instance=incarnation.id,
        born=incarnation.born,
        by=source,
    )
    known = fleet.instances.get(incarnation.id)
    if known is not None:
        fleet.apply_instances({incarnation.id: known}, False)
    return True
