"""Admission: organisations' shares, and shedding when a node is full."""

from cranecart.limits._admission import Admission, Capacity

__all__ = ('Admission', 'Capacity')
