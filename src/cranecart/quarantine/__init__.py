"""Requests that end the targets that run them."""

from cranecart.quarantine._identity import identity_of

__all__ = ('identity_of',)
