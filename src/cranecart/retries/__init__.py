"""Retry budgets."""

from cranecart.retries._budget import RetryBudget
from cranecart.retries._limits import RetryLimits
from cranecart.retries._request import RequestRetries
from cranecart.retries._shared import SharedRetryBudget
from cranecart.retries._unread import UnreadAttempt

__all__ = (
    'RequestRetries',
    'RetryBudget',
    'RetryLimits',
    'SharedRetryBudget',
    'UnreadAttempt',
)
