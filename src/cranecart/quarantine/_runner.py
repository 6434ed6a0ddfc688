"""What runs requests, whichever protocol it speaks."""

from typing import Protocol

import attrs

from cranecart.http import Address
from cranecart.ports import Incarnation


class Runner(Protocol):
    """A target that runs requests, in the life that it has now."""

    @property
    def id(self) -> str:
        """Return the name that routing knows it by."""

    @property
    def incarnation(self) -> Incarnation:
        """Return what tells this life from others."""

    @property
    def address(self) -> Address:
        """Return where it listens."""


@attrs.frozen
class NamedRunner:
    """A target whose life is told by a name and a number."""

    id: str
    incarnation: Incarnation
    address: Address
