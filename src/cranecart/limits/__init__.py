"""Admission control: organisations' limits, and load shedding."""

from cranecart.limits._admission import Admission, Capacity
from cranecart.limits._rates import TokenRateLimiter
from cranecart.limits._shares import LimitShares

__all__ = ('Admission', 'Capacity', 'LimitShares', 'TokenRateLimiter')
