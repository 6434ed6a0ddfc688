"""Log decisions as structured lines."""

import logging

_DECISIONS = logging.getLogger('cranecart.decisions')


def log_decision(event: str, **fields: object) -> None:
    """Log one routing or placement decision with its reason."""
    _DECISIONS.info(event, extra={'fields': {'event': event, **fields}})
