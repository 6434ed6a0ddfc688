"""Messages between nodes about targets."""

import msgspec

from cranecart.ports import Incarnation
from cranecart.quarantine import CaseUpdate
from cranecart.throttling import ColdUpdate, LimitUpdate


class _AboutIncarnation(msgspec.Struct, array_like=True):
    """Base of messages about one incarnation of an instance.

    ``instance`` is its id, and ``born`` distinguishes its incarnations.
    """

    sender: str
    instance: str
    born: int

    @property
    def incarnation(self) -> Incarnation:
        """Return the incarnation of the instance."""
        return Incarnation(self.instance, self.born)


class Broken(_AboutIncarnation, tag='broken'):
    """An instance of a plain service that broke the sender's connection."""


class Leaving(_AboutIncarnation, tag='leaving'):
    """An instance that announced in its responses that it is leaving."""


class RequestCases(msgspec.Struct, tag='cases', array_like=True):
    """The sender's cases: requests that may have ended their targets."""

    sender: str
    cases: list[CaseUpdate]


class TargetLimits(msgspec.Struct, tag='limits', array_like=True):
    """The rate limits that targets announced to the sender.

    ``cold`` are the targets that announced that they are cold.
    """

    sender: str
    limits: list[LimitUpdate]
    cold: list[ColdUpdate] = []
