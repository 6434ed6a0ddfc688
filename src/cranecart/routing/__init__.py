"""Choose the replica or service instance for a call."""

from cranecart.routing._heads import HeadRouter, Target
from cranecart.routing._policies import POLICIES, policy_from_name
from cranecart.routing._router import Router

__all__ = ('POLICIES', 'HeadRouter', 'Router', 'Target', 'policy_from_name')
