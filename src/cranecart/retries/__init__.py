"""Retry budgets."""

from cranecart.retries._budget import RetryBudget
from cranecart.retries._window import RetryLimits, SharedRetryBudget

__all__ = ('RetryBudget', 'RetryLimits', 'SharedRetryBudget')
