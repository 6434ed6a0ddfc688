"""Choose the replica or service instance for a call."""

from cranecart.routing._router import Router

__all__ = ('Router',)
