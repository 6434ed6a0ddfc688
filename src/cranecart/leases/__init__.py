"""Leases in the table, for duties that one node at a time performs."""

from cranecart.leases._lease import Lease, LeaseTimeouts

__all__ = ('Lease', 'LeaseTimeouts')
