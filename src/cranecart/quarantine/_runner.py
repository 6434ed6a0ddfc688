"""Targets that run requests, independent of their protocol."""

from typing import Protocol

import attrs

from cranecart.http import Address
from cranecart.ports import Incarnation


class Runner(Protocol):
    """A target that runs requests, in its current incarnation."""

    @property
    def id(self) -> str:
        """Return the id by which routing knows the target."""

    @property
    def incarnation(self) -> Incarnation:
        """Return what distinguishes this incarnation from others."""

    @property
    def address(self) -> Address:
        """Return where the target listens."""


@attrs.frozen
class NamedRunner:
    """A target whose incarnation is known by name and number."""

    id: str
    incarnation: Incarnation
    address: Address
