"""Evacuation of a failure domain, as requested by an operator."""

import attrs

from cranecart.ports import CounterInt


@attrs.frozen
class Evacuation:
    """Whether a failure domain's targets are withdrawn from use.

    Of two for the same failure domain the one with the higher version is valid.
    """

    failure_domain: str
    version: CounterInt
    is_active: bool
