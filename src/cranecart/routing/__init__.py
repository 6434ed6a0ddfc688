"""Choose the replica or service instance for a call."""

from cranecart.routing._heads import HeadRouter
from cranecart.routing._places import Target
from cranecart.routing._policies import POLICIES, policy_from_name
from cranecart.routing._pulse import StreamPulse
from cranecart.routing._router import Router
from cranecart.routing._wanted import Wanted

__all__ = (
    'POLICIES',
    'HeadRouter',
    'Router',
    'StreamPulse',
    'Target',
    'policy_from_name',
    'Wanted',
)
