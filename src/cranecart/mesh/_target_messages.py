"""What nodes tell each other of targets."""

import msgspec

from cranecart.ports import Incarnation
from cranecart.quarantine import CaseUpdate
from cranecart.throttling import LimitUpdate


class _OfLife(msgspec.Struct, array_like=True):
    """What the sender has found out of one life of an instance."""

    sender: str
    instance: str
    born: int

    @property
    def incarnation(self) -> Incarnation:
        """Return the instance's life."""
        return Incarnation(self.instance, self.born)


class Broken(_OfLife, tag='broken'):
    """An instance of a plain service that broke the sender's connection."""


class Leaving(_OfLife, tag='leaving'):
    """An instance that says in its answers that it leaves."""


class RequestCases(msgspec.Struct, tag='cases', array_like=True):
    """What the sender knows of requests under which targets have ended."""

    sender: str
    cases: list[CaseUpdate]


class TargetLimits(msgspec.Struct, tag='limits', array_like=True):
    """What the sender knows of the limits that targets name."""

    sender: str
    limits: list[LimitUpdate]
