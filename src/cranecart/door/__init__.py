"""Decide at the door: send a request, where and how urgently, or refuse it.

Nothing here reads a clock or a socket; what is believed comes in, typed
outcomes go out.
"""

from cranecart.door._belief import Ask, Standing
from cranecart.door._choice import Refuse, Send, decide
from cranecart.door._errors import ForecastErrors
from cranecart.door._returns import Returns, return_seconds

__all__ = (
    'Ask',
    'ForecastErrors',
    'Refuse',
    'Returns',
    'Send',
    'Standing',
    'decide',
    'return_seconds',
)
