"""Choose the replica, or the instance of a plain service, for a call."""

from cranecart.routing._ejection import Ejection
from cranecart.routing._heads import HeadRouter
from cranecart.routing._places import Target
from cranecart.routing._pulse import StreamPulse
from cranecart.routing._wanted import Wanted

__all__ = ('Ejection', 'HeadRouter', 'StreamPulse', 'Target', 'Wanted')
