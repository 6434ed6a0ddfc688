"""Admission: organisations' shares, budgets, and shedding when full."""

from cranecart.limits._admission import Admission, Capacity
from cranecart.limits._budget import RetryBudget
from cranecart.limits._rates import TokenRates
from cranecart.limits._shares import Shares
from cranecart.limits._window import RetryRules, SharedRetryBudget

__all__ = (
    'Admission',
    'Capacity',
    'RetryBudget',
    'RetryRules',
    'SharedRetryBudget',
    'Shares',
    'TokenRates',
)
