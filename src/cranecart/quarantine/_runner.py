"""Targets that run requests, independent of their protocol."""

from typing import Protocol

import attrs

from cranecart.http import Address
from cranecart.ports import Incarnation


class Runner(Protocol):
    """A target that runs requests, in its current incarnation."""

    @property
    def id(self) -> str:
        """Return the id by which routing identifies the target."""

    @property
    def incarnation(self) -> Incarnation:
        """Return the current incarnation of the target."""

    @property
    def address(self) -> Address:
        """Return the address on which the target listens."""


@attrs.frozen
class NamedRunner:
    """A target given by its id, incarnation and address."""

    id: str
    incarnation: Incarnation
    address: Address
