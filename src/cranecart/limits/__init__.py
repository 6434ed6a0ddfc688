"""Admission: organisations' shares, and shedding when full."""

from cranecart.limits._admission import Admission, Capacity
from cranecart.limits._rates import TokenRates
from cranecart.limits._shares import Shares

__all__ = ('Admission', 'Capacity', 'Shares', 'TokenRates')
