"""Duties that one node at a time holds, by leases in the table."""

from cranecart.duties._lease import Lease, LeaseTimes

__all__ = ('Lease', 'LeaseTimes')
