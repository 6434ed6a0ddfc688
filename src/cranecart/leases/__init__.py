"""Duties that one node at a time holds, by leases in the table."""

from cranecart.leases._lease import Lease, LeaseTimeouts

__all__ = ('Lease', 'LeaseTimeouts')
